#include "entry/callerport.h"

#include "recordingexchange.h"

#include <boost/test/unit_test.hpp>

using namespace bronzeshed;

namespace {

struct FullRingFixture
{
    std::string send(const std::string &id)
    {
        HttpRequest request;
        if (!id.empty()) {
            request.headers.add("Bronzeshed-Request-Id", id);
        }
        const auto exchange = std::make_shared<RecordingExchange>();
        this->port.handleRequest(std::move(request), exchange);
        return exchange->result();
    }

    Wakeup wakeup;
    EventRing<CallerEvent> ring{1, wakeup};
    EventRing<CallId> disconnects{1, wakeup};
    CallerPort port{ring, disconnects};
};

} // namespace

// Guards against a false "not-run". If the ring is full, a request with an id is refused before the
// ledger is checked, so it may have run already.
BOOST_FIXTURE_TEST_CASE(a_full_ring_answers_unknown_to_an_id, FullRingFixture)
{
    BOOST_TEST(this->send("") == "0 responses");
    BOOST_TEST(this->send("") == "not-run/overloaded");
    BOOST_TEST(this->send("00000000000000aa-0-0123456789abcdef") == "unknown/overloaded");
}
