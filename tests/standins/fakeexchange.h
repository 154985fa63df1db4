#ifndef BRONZESHED_TESTS_STANDINS_FAKEEXCHANGE_H
#define BRONZESHED_TESTS_STANDINS_FAKEEXCHANGE_H

#include "http/httpserver.h"

#include <memory>
#include <optional>

namespace bronzeshed {

/** Records what a handler did with a request. */
class FakeExchange : public HttpExchange
{
public:
    explicit FakeExchange(std::uint64_t connection = 1)
        : connection(connection)
    {
    }

    void respond(HttpResponse answer) override
    {
        if (!this->response && !this->dropped) {
            this->response = std::move(answer);
        }
    }
    void onClientDisconnected(std::function<void()> callback) override
    {
        this->gone = std::move(callback);
    }
    void drop() override { this->dropped = true; }
    std::uint64_t connectionNumber() const override { return this->connection; }

    std::optional<HttpResponse> response;
    std::function<void()> gone;
    bool dropped = false;

private:
    std::uint64_t connection;
};

/** Sends a request to a handler. */
inline std::shared_ptr<FakeExchange> exchange(HttpHandler &handler, HttpRequest request,
                                              std::uint64_t connection = 1)
{
    auto result = std::make_shared<FakeExchange>(connection);
    handler.handleRequest(std::move(request), result);
    return result;
}

inline HttpRequest makeRequest(const std::string &method, const std::string &target,
                               const std::string &body = {})
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    return request;
}

} // namespace bronzeshed

#endif
