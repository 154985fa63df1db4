#ifndef BRONZESHED_HTTP_HTTPMESSAGE_H
#define BRONZESHED_HTTP_HTTPMESSAGE_H

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bronzeshed {

/** Header fields of a message in the order received. Names compare without case. */
class HttpHeaders
{
public:
    using Field = std::pair<std::string, std::string>;

    void add(std::string_view name, std::string_view value);
    /** Replaces all fields called @p name by one. */
    void set(std::string_view name, std::string_view value);
    void remove(std::string_view name);

    /** Value of the first field called @p name. */
    std::optional<std::string> find(std::string_view name) const;
    std::size_t count(std::string_view name) const;

    const std::vector<Field> &fields() const { return this->entries; }

private:
    std::vector<Field> entries;
};

struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers;
    std::string body;
    std::string authority; ///< Host to send; if empty, the address of the server

    /** Target without its query. */
    std::string path() const;
    /** Decoded value of a query parameter; empty if absent. */
    std::string queryValue(std::string_view name) const;
};

struct HttpResponse
{
    unsigned status = 200;
    HttpHeaders headers;
    std::string body;
    bool closeConnection = false;
};

/** A response with a JSON body. */
HttpResponse makeJsonResponse(unsigned status, std::string json);
/** A plain text response. */
HttpResponse makeTextResponse(unsigned status, std::string text);

/** Compares header names without case. */
bool equalsIgnoringCase(std::string_view left, std::string_view right);

} // namespace bronzeshed

#endif
