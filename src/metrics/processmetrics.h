#ifndef BRONZESHED_METRICS_PROCESSMETRICS_H
#define BRONZESHED_METRICS_PROCESSMETRICS_H

namespace bronzeshed {

class TextExposition;

/** Writes the processor time (seconds) and the peak resident memory (bytes) of this process. */
void writeProcessMetrics(TextExposition &output);

} // namespace bronzeshed

#endif
