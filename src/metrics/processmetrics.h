#ifndef BRONZESHED_METRICS_PROCESSMETRICS_H
#define BRONZESHED_METRICS_PROCESSMETRICS_H

namespace bronzeshed {

class TextExposition;

/** Writes processor time and memory of this process. */
void writeProcessMetrics(TextExposition &output);

} // namespace bronzeshed

#endif
