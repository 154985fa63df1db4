#include "base/error.h"
#include "platform/httpinstancelist.h"
#include "platform/httpkeyvaluestore.h"

#include "http/httpserver.h"

#include <atomic>
#include <boost/test/unit_test.hpp>

using namespace bronzeshed;
using namespace std::chrono_literals;

namespace {

/** Never responds to a watch; reports the instance list as unchanged since revision 4. */
struct UnresponsivePlatform : HttpHandler
{
    void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override
    {
        if (request.path() == "/instances") {
            HttpResponse response;
            response.status = request.queryValue("revision") == "4" ? 304 : 200;
            response.headers.add("Revision", "4");
            response.body = response.status == 200 ? "[]" : "";
            exchange->respond(std::move(response));
            return;
        }
        this->openWatches.push_back(std::move(exchange));
        this->watched.store(true);
    }

    std::vector<std::shared_ptr<HttpExchange>> openWatches;
    std::atomic<bool> watched{false};
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_adapters)

// Guards against a slow stop of the agent: a stop during a watch that the store does not answer
// must not wait for the timeout of the watch.
BOOST_AUTO_TEST_CASE(a_waiting_watch_can_be_cancelled)
{
    UnresponsivePlatform platform;
    HttpServer server({"127.0.0.1", 0}, HttpLimits{}, platform);
    HttpKeyValueStore store(server.localEndpoint(), 10s, [&] { return platform.watched.load(); });
    const auto start = std::chrono::steady_clock::now();
    BOOST_CHECK_THROW(store.watch("key", 1), UnavailableError);
    // Without cancellation, the watch times out after 12 s.
    BOOST_TEST((std::chrono::steady_clock::now() - start < 11s));
    server.stop();
}

// Guards against transferring the whole instance list on a fetch with the current revision.
BOOST_AUTO_TEST_CASE(an_unchanged_list_is_not_sent_again)
{
    UnresponsivePlatform platform;
    HttpServer server({"127.0.0.1", 0}, HttpLimits{}, platform);
    HttpInstanceList list(server.localEndpoint(), 10s);
    const auto first = list.fetch(0);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->revision == 4U);
    BOOST_TEST(!list.fetch(first->revision).has_value());
    server.stop();
}

BOOST_AUTO_TEST_SUITE_END()
