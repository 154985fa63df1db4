// Stand-in for the platform's store: items, ranges, watches, transactions and leases.
#pragma once

#include "record.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>
#include <condition_variable>
#include <deque>
#include <thread>
#include <vector>

namespace review {

namespace json = boost::json;

class Store
{
public:
    explicit Store(Record &record)
        : record(record)
    {
        this->listener = listenLoopback(this->listenPort);
        std::thread([this] { this->accept(); }).detach();
        std::thread([this] { this->expireLeases(); }).detach();
    }

    unsigned short port() const { return this->listenPort; }

    /** Writes as the operator or a server does. The return is the store's confirmation. */
    std::uint64_t put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(this->mutex);
        return this->write(key, value, 0);
    }
    void erase(const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        this->remove(key);
    }
    std::size_t countKeys(const std::string &prefix)
    {
        const std::lock_guard lock(this->mutex);
        std::size_t count = 0;
        for (const auto &[key, item] : this->items) {
            count += key.starts_with(prefix) ? 1 : 0;
        }
        return count;
    }

    /** Until @p end, calls that arrive are not done and get no response, now or later. */
    void beSilentUntil(Clock::time_point end)
    {
        const std::lock_guard lock(this->mutex);
        this->silentUntil = end;
    }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0, created = 0, lease = 0;
    };
    struct Event
    {
        std::string key;
        Item item;
        std::uint64_t revision = 0;
        bool deleted = false;
    };
    struct Lease
    {
        Ms ttl{0};
        Clock::time_point end;
    };

    static std::string encode(const std::string &bytes)
    {
        namespace base64 = boost::beast::detail::base64;
        std::string text(base64::encoded_size(bytes.size()), '\0');
        text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
        return text;
    }
    static std::string decode(std::string_view text)
    {
        namespace base64 = boost::beast::detail::base64;
        std::string bytes(base64::decoded_size(text.size()), '\0');
        bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
        return bytes;
    }
    static json::object show(const std::string &key, const Item &item)
    {
        return {{"key", key},
                {"value", encode(item.value)},
                {"rev", item.revision},
                {"createRevision", item.created},
                {"lease", item.lease}};
    }

    std::uint64_t write(const std::string &key, const std::string &value, std::uint64_t lease)
    {
        Item &item = this->items[key];
        item.value = value;
        item.lease = lease;
        item.revision = ++this->revision;
        item.created = item.created == 0 ? item.revision : item.created;
        this->events.push_back({key, item, this->revision, false});
        this->changed.notify_all();
        return this->revision;
    }
    void remove(const std::string &key)
    {
        if (this->items.erase(key) > 0) {
            this->events.push_back({key, {}, ++this->revision, true});
            this->changed.notify_all();
        }
    }
    void endLease(std::uint64_t lease)
    {
        this->leases.erase(lease);
        std::vector<std::string> ended;
        for (const auto &[key, item] : this->items) {
            if (item.lease == lease) {
                ended.push_back(key);
            }
        }
        for (const std::string &key : ended) {
            this->remove(key);
        }
    }
    void expireLeases()
    {
        while (true) {
            std::this_thread::sleep_for(Ms(50));
            const std::lock_guard lock(this->mutex);
            std::vector<std::uint64_t> ended;
            for (const auto &[id, lease] : this->leases) {
                if (lease.end <= Clock::now()) {
                    ended.push_back(id);
                }
            }
            for (const std::uint64_t id : ended) {
                this->endLease(id);
            }
        }
    }

    void accept()
    {
        while (true) {
            const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0) {
                std::thread([this, fd] { this->serve(fd); }).detach();
            }
        }
    }
    bool isSilent()
    {
        const std::lock_guard lock(this->mutex);
        return Clock::now() < this->silentUntil;
    }
    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.read(request) == ReadResult::Complete) {
            if (this->isSilent()) {
                this->record.write("store leaves %s %s unanswered", request.first.c_str(),
                                   request.path().c_str());
                // Nothing further is returned; the connection ends when the client closes it.
                while (reader.read(request) == ReadResult::Complete) { }
                break;
            }
            const std::string answer = this->handle(request);
            if (!sendAll(fd, answer) || lower(request.header("connection")) == "close") {
                break;
            }
        }
        ::close(fd);
    }
    static std::string answer(int status, const json::object &body)
    {
        return response(status, "Content-Type: application/json\r\n", json::serialize(body));
    }

    std::string handle(const Message &request)
    {
        const std::string path = request.path();
        std::unique_lock lock(this->mutex);
        if (path == "/kv-range") {
            return this->range(request);
        }
        if (path == "/kv-watch") {
            return this->watch(request, lock);
        }
        if (path == "/kv-key") {
            const auto found = this->items.find(request.query("key"));
            if (found == this->items.end()) {
                return answer(404, {});
            }
            json::object body = show(found->first, found->second);
            body["asOf"] = this->revision;
            return answer(200, body);
        }
        if (path == "/kv-txn") {
            return this->transaction(request);
        }
        if (path == "/kv-lease") {
            const auto ttl = json::parse(request.body).at("ttlMs").to_number<std::int64_t>();
            const std::uint64_t id = ++this->lastLease;
            this->leases[id] = {Ms(ttl), Clock::now() + Ms(ttl)};
            return answer(200, {{"lease", id}, {"ttlMs", ttl}});
        }
        const std::uint64_t id = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        const auto found = this->leases.find(id);
        if (found == this->leases.end()) {
            return answer(404, {});
        }
        if (request.first == "DELETE") {
            this->endLease(id);
            return answer(200, {});
        }
        found->second.end = Clock::now() + found->second.ttl;
        return answer(200, {{"ttlMs", found->second.ttl.count()}});
    }

    std::string range(const Message &request)
    {
        constexpr std::size_t MaxItems = 500;
        const std::string prefix = request.query("prefix");
        const std::string after = request.query("after");
        json::array found;
        bool more = false;
        for (const auto &[key, item] : this->items) {
            if (key.starts_with(prefix) && (after.empty() || key > after)) {
                more = found.size() == MaxItems;
                if (more) {
                    break;
                }
                found.push_back(show(key, item));
            }
        }
        return answer(200, {{"items", std::move(found)}, {"hasMore", more}, {"asOf", this->revision}});
    }

    std::string watch(const Message &request, std::unique_lock<std::mutex> &lock)
    {
        const std::string prefix = request.query("prefix");
        const std::uint64_t after = std::strtoull(request.query("after").c_str(), nullptr, 10);
        const auto wait = Ms(std::strtoll(request.query("waitMs").c_str(), nullptr, 10));
        const auto end = Clock::now() + wait;
        json::array found;
        while (true) {
            for (const Event &event : this->events) {
                if (event.revision <= after || !event.key.starts_with(prefix)) {
                    continue;
                }
                if (event.deleted) {
                    found.push_back(json::object{
                        {"key", event.key}, {"rev", event.revision}, {"deleted", true}});
                } else {
                    found.push_back(show(event.key, event.item));
                }
            }
            if (!found.empty() || Clock::now() >= end) {
                break;
            }
            this->changed.wait_until(lock, end);
        }
        return answer(200, {{"events", std::move(found)}, {"asOf", this->revision}});
    }

    std::string transaction(const Message &request)
    {
        const json::value root = json::parse(request.body);
        json::array conflicts;
        for (const json::value &entry : root.at("expected").as_array()) {
            const std::string key(entry.at("key").as_string());
            const auto found = this->items.find(key);
            const std::uint64_t current = found == this->items.end() ? 0 : found->second.revision;
            if (entry.at("rev").to_number<std::uint64_t>() != current) {
                conflicts.push_back(json::object{{"key", key}, {"rev", current}});
            }
        }
        if (!conflicts.empty()) {
            return answer(412, {{"items", std::move(conflicts)}});
        }
        for (const json::value &entry : root.at("puts").as_array()) {
            const auto lease = entry.at("lease").to_number<std::uint64_t>();
            if (lease != 0 && !this->leases.contains(lease)) {
                return answer(404, {});
            }
        }
        for (const json::value &key : root.at("deletes").as_array()) {
            this->remove(std::string(key.as_string()));
        }
        for (const json::value &entry : root.at("puts").as_array()) {
            this->write(std::string(entry.at("key").as_string()), decode(entry.at("value").as_string()),
                        entry.at("lease").to_number<std::uint64_t>());
        }
        return answer(200, {{"rev", this->revision}});
    }

    Record &record;
    int listener = -1;
    unsigned short listenPort = 0;
    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision = 1;
    Clock::time_point silentUntil;
    std::map<std::string, Item> items;
    std::deque<Event> events;
    std::map<std::uint64_t, Lease> leases;
    std::uint64_t lastLease = 100;
};

} // namespace review
