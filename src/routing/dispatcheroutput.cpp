#include "routing/dispatcheroutput.h"

namespace bronzeshed {

std::string_view attemptStatusName(AttemptStatus status)
{
    switch (status) {
    case AttemptStatus::Answered:
        return "answered";
    case AttemptStatus::NotStarted:
        return "not-started";
    case AttemptStatus::NotSent:
        return "not-sent";
    case AttemptStatus::Failed:
        return "failed";
    case AttemptStatus::TimedOut:
        return "timed-out";
    case AttemptStatus::Cancelled:
        return "cancelled";
    }
    return "failed";
}

} // namespace bronzeshed
