#include "entry/callerport.h"

#include "recordingexchange.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

namespace {

struct FullPort
{
    std::string tell(const std::string &id)
    {
        HttpRequest request;
        if (!id.empty()) {
            request.headers.add("Bronzeshed-Request-Id", id);
        }
        const auto exchange = std::make_shared<RecordingExchange>();
        this->port.handleRequest(std::move(request), exchange);
        return exchange->told();
    }

    Wakeup wakeup;
    EventRing<CallerEvent> ring{1, wakeup};
    EventRing<CallId> departures{1, wakeup};
    CallerPort port{ring, departures};
};

} // namespace

// Guards against a false "not-run": with a full ring nobody has looked up whether the id has run.
BOOST_FIXTURE_TEST_CASE(a_full_ring_answers_unknown_to_an_id, FullPort)
{
    BOOST_TEST(this->tell("") == "0 responses");
    BOOST_TEST(this->tell("") == "not-run/overloaded");
    BOOST_TEST(this->tell("00000000000000aa-0-0123456789abcdef") == "unknown/overloaded");
}
