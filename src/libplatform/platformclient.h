#pragma once

#include "libdecision/enumnames.h"
#include "libdecision/ids.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcuptrail {

/// Why a call to the platform's object API failed.
enum class PlatformError : std::uint8_t {
    None,
    /// No connection could be established. Nothing was written.
    Unreachable,
    /// The response was lost or timed out. A write may or may not have taken effect.
    NoAnswer,
    /// The object's version was not the expected one. Nothing was written.
    Conflict,
    NotFound,
    /// The store no longer has the history since the watch's version; the objects must be listed again.
    Gone,
    BadAnswer,
    Refused,
};

template <>
struct EnumNames<PlatformError> {
    static constexpr std::array<std::string_view, 8> names {
        "none",
        "unreachable",
        "noAnswer",
        "conflict",
        "notFound",
        "gone",
        "badAnswer",
        "refused",
    };
};

using ObjectVersion = std::uint64_t;

struct PlatformObject {
    std::string name;
    ObjectVersion version = 0;
    /// JSON text; nothing for a deleted object in the response to a watch.
    std::optional<std::string> value;
};

struct ObjectList {
    /// The version of the store that the list reflects; a watch continues from it.
    ObjectVersion version = 0;
    std::vector<PlatformObject> objects;
};

struct StoreDialect;

struct PlatformOptions {
    asio::ip::tcp::endpoint server;
    /// Encodes requests and decodes responses of the store; null means plainDialect().
    const StoreDialect* dialect = nullptr;
    Millis connectTimeout = 1000;
    Millis callTimeout = 3000;
    /// How long the platform holds a watch without changes before it returns an empty list, in milliseconds.
    Millis watchWait = 20000;
    /// Time without any TCP acknowledgement from the store's host after which a call fails, in milliseconds; 0 means that only
    /// the timeout of the call applies.
    Millis keepAliveTimeout = 0;
    /// Name of this process, sent with each call so that the platform can count calls for each client.
    std::string client;
    /// Minimum and maximum delay before a watcher or announcer retries, in milliseconds. The minimum is also the pause of a
    /// watcher between two watches.
    Millis minRetryDelay = 100;
    Millis maxRetryDelay = 3000;
};

/// Whether a response must reflect every acknowledged write, or may be some seconds old, which is cheaper for the store.
enum class ReadFreshness : std::uint8_t {
    Current,
    MayBeStale,
};

/// Client of the platform's object API. It does not retry: whether to retry is decided by the code that makes a call. Not
/// thread-safe: use it only in the io_context's thread. The wire format is defined by a StoreDialect (storedialect.h).
class PlatformClient {
public:
    template <typename Result>
    using Handler = std::function<void(std::optional<Result>, PlatformError)>;

    PlatformClient(asio::io_context& context, const PlatformOptions& options);
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    void get(const std::string& kind, const std::string& name, Handler<PlatformObject> handler, ReadFreshness freshness = ReadFreshness::Current);
    void list(const std::string& kind, Handler<ObjectList> handler, ReadFreshness freshness = ReadFreshness::Current);
    /// Writes the object if its version is `ifVersion`, where 0 means that it does not exist; yields the new version.
    void put(const std::string& kind, const std::string& name, const std::string& value, ObjectVersion ifVersion, Handler<ObjectVersion> handler);
    void remove(const std::string& kind, const std::string& name, ObjectVersion ifVersion, Handler<ObjectVersion> handler);
    /// Waits for changes after version `since`; yields an empty list when there were none within the wait.
    void watch(const std::string& kind, ObjectVersion since, Handler<ObjectList> handler);

    /// Yields the changes after version `since` that there are, without waiting for one. The answer may be some seconds old.
    void changesSince(const std::string& kind, ObjectVersion since, Handler<ObjectList> handler);

    /// Cancels all pending calls without calling their handlers.
    void cancelAll();

    std::uint64_t callsMade() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
