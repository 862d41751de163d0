#include "foreignwriter.h"

namespace kingcuptrail {

namespace {

    std::vector<std::string> foreignSpecs()
    {
        constexpr std::size_t levels = 400000;
        return {
            R"({"note":"\udcff\udcfe"})",
            R"({"until":1e400})",
            "\"\xff\xfe\"",
            std::string(levels, '[') + std::string(levels, ']'),
            R"({"name":"cellar-4","role":"agent","address":4294967296,"dataCentre":"north","service":"board","state":"ready","slots":5,"epoch":1})",
            R"({"name":"cellar-5","role":"agent","address":2130706433,"dataCentre":"north","service":"board","state":"ready","slots":5,"epoch":18446744073709551615})",
            R"([{"version":-1}])",
        };
    }

}

ForeignWriter::ForeignWriter(asio::io_context& context, Fleet& fleet, std::uint32_t seed, Log log)
    : m_fleet(fleet)
    , m_log(std::move(log))
    , m_timer(context)
    , m_random(seed)
{
}

void ForeignWriter::scheduleNext()
{
    inject();
    m_timer.start(300 + randomBelow(1200), [this] { scheduleNext(); });
}

void ForeignWriter::inject()
{
    static const std::vector<std::string> specs = foreignSpecs();
    constexpr std::array<const char*, 3> kinds { "config", "evacuations", "agent" };
    if (randomBelow(4) == 0) {
        const Millis limit = Millis { 1000 } * (1 + randomBelow(40));
        m_log("change idle limit to " + std::to_string(limit) + " ms");
        m_fleet.changeIdleLimit(limit);
        return;
    }
    const std::uint32_t number = randomBelow(static_cast<std::uint32_t>(specs.size()));
    const std::string kind = kinds[randomBelow(kinds.size())];
    m_log("another program writes " + kind + "/cellar-" + std::to_string(number));
    m_fleet.store().writeText(kind, "cellar-" + std::to_string(number), specs[number]);
}

}
