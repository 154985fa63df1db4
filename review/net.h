// Blocking sockets and HTTP/1.1 messages for the stand-ins.
#pragma once

#include <arpa/inet.h>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline std::string lower(std::string text)
{
    for (char &c : text) {
        c = c >= 'A' && c <= 'Z' ? static_cast<char>(c | 0x20) : c;
    }
    return text;
}

/** Listens on a free loopback port. */
inline int listenLoopback(unsigned short &port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), size) != 0 || ::listen(fd, 512) != 0
        || ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    port = ntohs(address.sin_port);
    return fd;
}

inline int connectLoopback(unsigned short port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

/** A request or a response: the words of the first line, the headers in lower case, the body. */
struct Message
{
    std::string first, second, third;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? "" : found->second;
    }
    std::string path() const { return this->second.substr(0, this->second.find('?')); }
    std::string query(const std::string &name) const
    {
        const auto mark = this->second.find('?');
        std::string rest = mark == std::string::npos ? "" : "&" + this->second.substr(mark + 1);
        const auto at = rest.find("&" + name + "=");
        if (at == std::string::npos) {
            return "";
        }
        std::string raw = rest.substr(at + name.size() + 2);
        raw = raw.substr(0, raw.find('&'));
        std::string text;
        for (std::size_t i = 0; i < raw.size(); ++i) {
            if (raw[i] == '%' && i + 2 < raw.size()) {
                text += static_cast<char>(std::strtol(raw.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                text += raw[i];
            }
        }
        return text;
    }
    int status() const { return std::atoi(this->second.c_str()); }
};

enum class ReadResult { Complete, Closed, TimedOut };

/** Reads messages from a connection and keeps the bytes that follow. */
class Reader
{
public:
    explicit Reader(int fd)
        : fd(fd)
    {
    }

    /** Waits until @p end; Closed also stands for a message that breaks off. */
    ReadResult read(Message &message, Clock::time_point end = Clock::time_point::max())
    {
        message = {};
        std::size_t head = 0;
        while ((head = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (const auto result = this->fill(end); result != ReadResult::Complete) {
                return result;
            }
        }
        std::string text = this->buffer.substr(0, head + 2);
        this->buffer.erase(0, head + 4);
        std::size_t at = text.find("\r\n");
        const std::string line = text.substr(0, at);
        const auto a = line.find(' ');
        const auto b = line.find(' ', a + 1);
        message.first = line.substr(0, a);
        message.second = a == std::string::npos ? "" : line.substr(a + 1, b - a - 1);
        message.third = b == std::string::npos ? "" : line.substr(b + 1);
        for (at += 2; at < text.size();) {
            const auto next = text.find("\r\n", at);
            const std::string field = text.substr(at, next - at);
            const auto colon = field.find(':');
            if (colon != std::string::npos) {
                const auto value = field.find_first_not_of(" \t", colon + 1);
                message.headers[lower(field.substr(0, colon))]
                    = value == std::string::npos ? "" : field.substr(value);
            }
            at = next + 2;
        }
        if (lower(message.header("transfer-encoding")) == "chunked") {
            return this->readChunks(message, end);
        }
        const std::size_t length = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
        while (this->buffer.size() < length) {
            if (const auto result = this->fill(end); result != ReadResult::Complete) {
                return result;
            }
        }
        message.body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return ReadResult::Complete;
    }

private:
    ReadResult readChunks(Message &message, Clock::time_point end)
    {
        while (true) {
            std::size_t line = 0;
            while ((line = this->buffer.find("\r\n")) == std::string::npos) {
                if (const auto result = this->fill(end); result != ReadResult::Complete) {
                    return result;
                }
            }
            const std::size_t size = std::strtoul(this->buffer.c_str(), nullptr, 16);
            while (this->buffer.size() < line + 2 + size + 2) {
                if (const auto result = this->fill(end); result != ReadResult::Complete) {
                    return result;
                }
            }
            message.body += this->buffer.substr(line + 2, size);
            this->buffer.erase(0, line + 2 + size + 2);
            if (size == 0) {
                return ReadResult::Complete;
            }
        }
    }

    ReadResult fill(Clock::time_point end)
    {
        if (end != Clock::time_point::max()) {
            const auto left = std::chrono::ceil<Ms>(end - Clock::now()).count();
            pollfd entry{this->fd, POLLIN, 0};
            if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
                return ReadResult::TimedOut;
            }
        }
        char bytes[65536];
        const auto n = ::recv(this->fd, bytes, sizeof bytes, 0);
        if (n <= 0) {
            return ReadResult::Closed;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(n));
        return ReadResult::Complete;
    }

    int fd;
    std::string buffer;
};

inline std::string response(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review
