#pragma once

#include "configdiff.h"
#include "platformclient.h"

#include <functional>
#include <memory>

namespace kingcuptrail {

/// Why a configuration was not accepted.
enum class ApplyError : std::uint8_t {
    None,
    /// The platform could not be reached. Nothing was changed.
    PlatformUnreachable,
    /// The response to the write was lost and the manifest could not be read again within the limit: the change may or may not
    /// have been accepted.
    OutcomeUnknown,
    /// Another change was accepted concurrently; the report holds its version. Nothing was changed.
    Conflict,
    /// No configuration has been accepted yet.
    NoConfig,
    UnknownDataCentre,
    /// The change would take the last data centre out of service.
    AllOut,
    /// The manifest object in the platform cannot be parsed.
    BadManifest,
    /// The platform rejected the write, for example because of its size.
    Refused,
};

template <>
struct EnumNames<ApplyError> {
    static constexpr std::array<std::string_view, 9> names {
        "none",
        "platformUnreachable",
        "outcomeUnknown",
        "conflict",
        "noConfig",
        "unknownDataCentre",
        "allOut",
        "badManifest",
        "refused",
    };
};

struct ApplyReport {
    ApplyError error = ApplyError::None;
    /// The last error of a platform call, even if a retry succeeded.
    PlatformError platformError = PlatformError::None;
    /// The accepted version; after a conflict, the version of the change that was accepted instead.
    ConfigVersion version = 0;
    /// False when the platform already held the same configuration and nothing was written.
    bool changed = false;
};

struct ApplyOptions {
    /// Identifies this change in the manifest, so that reading the manifest shows whether a write without a response took
    /// effect. Generated when empty.
    std::string applyId;
    /// How long to retry while the platform does not respond, in milliseconds.
    Millis limit = 15000;
};

/// Changes the accepted configuration: writes the missing service objects, then replaces the manifest by one conditional
/// write, which makes the change atomic. Each object of this class performs one change.
class ConfigApply {
public:
    using Handler = std::function<void(const ApplyReport&)>;

    ConfigApply(asio::io_context& context, const PlatformOptions& options, ApplyOptions applyOptions = {});
    ~ConfigApply();
    ConfigApply(const ConfigApply&) = delete;
    ConfigApply& operator=(const ConfigApply&) = delete;

    /// Replaces the whole configuration, except that data centres without `out` keep their state. Ends in a Conflict if another
    /// change is accepted concurrently, since the operator based the decision on a configuration that is no longer in force.
    void apply(Config wanted, Handler handler);

    /// Takes one data centre out of service or brings it back. Applies to the configuration accepted at the time of the write,
    /// so that concurrent changes are kept.
    void setDataCentreOut(std::string dataCentre, bool out, Handler handler);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

/// Reads the accepted configuration once. On failure the handler gets no configuration and the error; NotFound means that none
/// was accepted yet.
class ConfigFetch {
public:
    using Handler = std::function<void(std::optional<Config>, PlatformError)>;

    ConfigFetch(asio::io_context& context, const PlatformOptions& options, Handler handler);
    ~ConfigFetch();
    ConfigFetch(const ConfigFetch&) = delete;
    ConfigFetch& operator=(const ConfigFetch&) = delete;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
