#pragma once

#include "configdiff.h"
#include "platformclient.h"

#include <functional>
#include <memory>

namespace kingcuptrail {

/// Why a configuration was not accepted.
enum class ApplyError : std::uint8_t {
    None,
    /// Nothing was changed: the platform could not be reached.
    PlatformUnreachable,
    /// No answer came within the limit, also not on reading back: it may or may not be accepted.
    OutcomeUnknown,
    /// Another apply was accepted in between; the report names its version. Nothing was changed.
    Conflict,
    /// No configuration was accepted yet.
    NoConfig,
    UnknownDataCentre,
    /// No data centre would be left to serve.
    AllOut,
    /// What the platform holds is not a configuration.
    BadManifest,
    /// The platform refused the write, for its size for example.
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
    /// The last trouble with the platform, also when it was overcome.
    PlatformError platformError = PlatformError::None;
    /// The version accepted; for a conflict the version it lost to.
    ConfigVersion version = 0;
    /// False when the platform held the same already and nothing was written.
    bool changed = false;
};

struct ApplyOptions {
    /// Names this apply in the manifest, so that a lost answer is settled by reading back; made up when empty.
    std::string applyId;
    /// How long to go on trying while the platform does not answer, in milliseconds.
    Millis limit = 15000;
};

/// Changes the accepted configuration: writes the service objects that are missing, then replaces the manifest by one
/// conditional write. It is accepted as a whole by that write or not at all. One change for each object of this class.
class ConfigApply {
public:
    using Handler = std::function<void(const ApplyReport&)>;

    ConfigApply(asio::io_context& context, const PlatformOptions& options, ApplyOptions applyOptions = {});
    ~ConfigApply();
    ConfigApply(const ConfigApply&) = delete;
    ConfigApply& operator=(const ConfigApply&) = delete;

    /// Accepts a whole configuration, but for states of data centres that it does not state. The loser of a race gets a
    /// Conflict: its operator decided on what is no longer so.
    void apply(Config wanted, Handler handler);

    /// Takes one data centre out or brings it back and leaves the rest as it is, whatever that is by then: a change that
    /// was accepted meanwhile is kept, and the state is set on top of it.
    void setOut(std::string dataCentre, bool out, Handler handler);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

/// Reads the accepted configuration once; nothing with the reason, NotFound when there is none yet.
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
