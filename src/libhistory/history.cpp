#include "history.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace kingcuptrail {

namespace {

    using nlohmann::json;

    Millis monotonicNow()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
    }

    template <typename Enum>
    void readEnum(const json& value, Enum& target)
    {
        const auto parsed = fromName<Enum>(value.get<std::string>());
        if (!parsed)
            throw json::type_error::create(302, "unknown name", &value);
        target = *parsed;
    }

    /// Calls `visit(name, member)` for each field. Used for reading and writing, so that both use the same names.
    template <typename Event, typename Visitor>
    void visitFields(Event& event, Visitor visit)
    {
        visit("t", event.at);
        visit("who", event.who);
        visit("event", event.kind);
        visit("process", event.process);
        visit("role", event.role);
        visit("key", event.key);
        visit("call", event.call);
        visit("flow", event.flow);
        visit("service", event.service);
        visit("upstream", event.upstream);
        visit("upstreamId", event.upstreamId);
        visit("dataCentre", event.dataCentre);
        visit("idempotent", event.idempotent);
        visit("bodyHash", event.bodyHash);
        visit("version", event.version);
        visit("concurrent", event.concurrent);
        visit("bearable", event.bearable);
        visit("sequence", event.sequence);
        visit("reason", event.reason);
        visit("detail", event.detail);
    }

    template <typename Value>
    constexpr bool isEnum = std::is_enum_v<std::remove_cvref_t<Value>>;

    std::size_t readFields(const json& document, HistoryEvent& event)
    {
        std::size_t known = 0;
        visitFields(event, [&](const char* name, auto& member) {
            const auto found = document.find(name);
            if (found == document.end())
                return;
            ++known;
            if constexpr (isEnum<decltype(member)>)
                readEnum(*found, member);
            else
                member = found->template get<std::remove_cvref_t<decltype(member)>>();
        });
        return known;
    }

    bool readFile(const std::string& file, std::vector<HistoryEvent>& events, HistoryFault& fault)
    {
        fault = { .file = file };
        std::ifstream input(file);
        if (!input) {
            fault.error = HistoryError::CannotOpen;
            return false;
        }
        std::string line;
        while (std::getline(input, line)) {
            ++fault.line;
            const bool isIncomplete = input.eof();
            if (isIncomplete)
                break;
            auto event = parseJsonLine(line, fault.error);
            if (!event)
                return false;
            events.push_back(std::move(*event));
        }
        return true;
    }

}

struct HistoryWriter::Private {
    std::ofstream output;
    std::string who;
};

HistoryWriter::HistoryWriter(std::unique_ptr<Private> d)
    : m_d(std::move(d))
{
}

HistoryWriter::~HistoryWriter() = default;

std::unique_ptr<HistoryWriter> HistoryWriter::open(const std::string& file, std::string who)
{
    auto d = std::make_unique<Private>();
    d->output.open(file, std::ios::app);
    d->who = std::move(who);
    if (!d->output)
        return nullptr;
    return std::unique_ptr<HistoryWriter>(new HistoryWriter(std::move(d)));
}

void HistoryWriter::append(HistoryEvent event)
{
    if (event.at == 0)
        event.at = monotonicNow();
    if (event.who.empty())
        event.who = m_d->who;
    m_d->output << toJsonLine(event) + "\n"
                << std::flush;
}

std::string toJsonLine(const HistoryEvent& event)
{
    const HistoryEvent unset;
    json document;
    visitFields(event, [&](const char* name, const auto& member) {
        if constexpr (isEnum<decltype(member)>)
            document[name] = nameOf(member);
        else
            document[name] = member;
    });
    visitFields(unset, [&](const char* name, const auto& member) {
        if constexpr (isEnum<decltype(member)>) {
            if (std::string_view(name) != "event" && document[name] == nameOf(member))
                document.erase(name);
        } else if (document[name] == json(member)) {
            document.erase(name);
        }
    });
    // Names may come from a peer; invalid UTF-8 must not throw an exception here.
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<HistoryEvent> parseJsonLine(std::string_view line, HistoryError& error)
{
    const auto document = json::parse(line, nullptr, false);
    error = HistoryError::NotJson;
    if (!document.is_object())
        return std::nullopt;
    const auto kind = document.find("event");
    error = HistoryError::UnknownEvent;
    if (kind == document.end() || !kind->is_string() || !fromName<HistoryKind>(kind->get<std::string>()))
        return std::nullopt;
    error = HistoryError::BadField;
    HistoryEvent event;
    try {
        if (readFields(document, event) != document.size() || event.at == 0)
            return std::nullopt;
    } catch (const json::exception&) {
        return std::nullopt;
    }
    error = HistoryError::None;
    return event;
}

std::optional<std::vector<HistoryEvent>> readHistory(const std::vector<std::string>& files, HistoryFault& fault)
{
    std::vector<HistoryEvent> events;
    for (const std::string& file : files) {
        if (!readFile(file, events, fault))
            return std::nullopt;
    }
    fault = {};
    std::ranges::stable_sort(events, {}, &HistoryEvent::at);
    return events;
}

}
