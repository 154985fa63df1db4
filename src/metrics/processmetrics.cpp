#include "metrics/processmetrics.h"

#include "metrics/textexposition.h"

#include <sys/resource.h>

namespace bronzeshed {

namespace {

double toSeconds(const timeval &time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
}

} // namespace

void writeProcessMetrics(TextExposition &output)
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    output.begin("process_cpu_seconds_total", "counter", "Processor time of the process.");
    output.sample({}, toSeconds(usage.ru_utime) + toSeconds(usage.ru_stime));
    output.begin("process_max_resident_bytes", "gauge", "Largest resident memory so far.");
    output.sample({}, static_cast<double>(usage.ru_maxrss) * 1024.0);
}

} // namespace bronzeshed
