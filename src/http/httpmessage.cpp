#include "http/httpmessage.h"

#include <algorithm>
#include <charconv>

namespace bronzeshed {

namespace {

/** Number of fields to reserve. Requests have fewer, including the headers that the entry adds. */
constexpr std::size_t TypicalFieldCount = 16;

std::string decodePercent(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned code = 0;
        const char *digits = text.data() + i + 1;
        const bool escaped = text[i] == '%' && i + 2 < text.size();
        if (escaped && std::from_chars(digits, digits + 2, code, 16).ptr == digits + 2) {
            decoded += static_cast<char>(code);
            i += 2;
        } else {
            decoded += text[i] == '+' ? ' ' : text[i];
        }
    }
    return decoded;
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    // Header names are ASCII. std::tolower() would cost a function call for each character.
    const auto lower
        = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c | 0x20) : c; };
    if (left.size() != right.size()) {
        return false;
    }
    // Comparing from the end is faster, because many names share the prefix "Bronzeshed-".
    for (std::size_t i = left.size(); i-- > 0;) {
        if (left[i] != right[i] && lower(left[i]) != lower(right[i])) {
            return false;
        }
    }
    return true;
}

void HttpHeaders::add(std::string_view name, std::string_view value)
{
    if (this->entries.empty()) {
        // Without reserving, growing the vector would move the fields several times.
        this->entries.reserve(TypicalFieldCount);
    }
    this->entries.emplace_back(name, value);
}

void HttpHeaders::set(std::string_view name, std::string_view value)
{
    this->remove(name);
    this->add(name, value);
}

void HttpHeaders::remove(std::string_view name)
{
    std::erase_if(this->entries,
                  [&](const Field &field) { return equalsIgnoringCase(field.first, name); });
}

std::optional<std::string> HttpHeaders::find(std::string_view name) const
{
    for (const Field &field : this->entries) {
        if (equalsIgnoringCase(field.first, name)) {
            return field.second;
        }
    }
    return std::nullopt;
}

std::size_t HttpHeaders::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(),
                      [&](const Field &field) { return equalsIgnoringCase(field.first, name); }));
}

std::string HttpRequest::path() const
{
    return this->target.substr(0, this->target.find('?'));
}

std::string HttpRequest::queryValue(std::string_view name) const
{
    const auto start = this->target.find('?');
    if (start == std::string::npos) {
        return {};
    }
    std::string_view query = std::string_view(this->target).substr(start + 1);
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
            return decodePercent(pair.substr(equals + 1));
        }
    }
    return {};
}

std::string encodePercent(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '/' || character == '.') {
            encoded += character;
        } else {
            encoded += '%';
            encoded += Digits[byte >> 4U];
            encoded += Digits[byte & 15U];
        }
    }
    return encoded;
}

HttpResponse makeJsonResponse(unsigned status, std::string json)
{
    HttpResponse response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = std::move(json);
    return response;
}

HttpResponse makeTextResponse(unsigned status, std::string text)
{
    HttpResponse response;
    response.status = status;
    response.headers.add("Content-Type", "text/plain; charset=utf-8");
    response.body = std::move(text);
    return response;
}

} // namespace bronzeshed
