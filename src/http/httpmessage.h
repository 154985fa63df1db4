#ifndef BRONZESHED_HTTP_HTTPMESSAGE_H
#define BRONZESHED_HTTP_HTTPMESSAGE_H

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bronzeshed {

/** Header fields of a message in the order received. Names are compared case-insensitively. */
class HttpHeaders
{
public:
    using Field = std::pair<std::string, std::string>;

    void add(std::string_view name, std::string_view value);
    /** Replaces all fields named @p name by a single one. */
    void set(std::string_view name, std::string_view value);
    void remove(std::string_view name);

    /** Returns the value of the first field named @p name. */
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
    std::string authority; ///< value of the Host header; if empty, the server address is sent

    /** Returns the target without its query. */
    std::string path() const;
    /** Returns the percent-decoded value of a query parameter, or an empty string if absent. */
    std::string queryValue(std::string_view name) const;
};

struct HttpResponse
{
    unsigned status = 200;
    HttpHeaders headers;
    std::string body;
    bool closeConnection = false;
};

/** Creates a response with a JSON body. */
HttpResponse makeJsonResponse(unsigned status, std::string json);
/** Creates a response with a plain text body. */
HttpResponse makeTextResponse(unsigned status, std::string text);

/** Percent-encodes a value of a query string. */
std::string encodePercent(std::string_view text);

/** Compares two ASCII strings case-insensitively, such as header names. */
bool equalsIgnoringCase(std::string_view left, std::string_view right);

} // namespace bronzeshed

#endif
