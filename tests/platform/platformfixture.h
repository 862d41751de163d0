#pragma once

#include "libplatform/configapply.h"
#include "standins/platform/platformserver.h"
#include "support/eventloop.h"

#include <cppunit/extensions/HelperMacros.h>

namespace kingcuptrail {

/// Runs a platform stand-in in this process and provides helpers that tests of the platform's clients share.
class PlatformFixture : public CppUnit::TestFixture {
public:
    void setUp() override
    {
        m_server = PlatformServer::listen(m_context, { asio::ip::make_address("127.0.0.1"), 0 }, [this](const std::string& line) { m_history.push_back(line); });
        CPPUNIT_ASSERT(m_server);
        m_options = { .server = m_server->endpoint(), .connectTimeout = 500, .callTimeout = 1000, .watchWait = 500, .minRetryDelay = 5, .maxRetryDelay = 40 };
    }

    void tearDown() override { m_server.reset(); }

protected:
    static Config makeConfig(std::uint32_t slots = 5)
    {
        Config config;
        config.services = { { .name = "board", .address = *parseServiceAddress("10.0.0.1:443"), .dataCentres = { "north", "south" }, .slots = slots } };
        config.dataCentres = { { .name = "north" }, { .name = "south" } };
        return config;
    }

    ApplyReport awaitReport(const std::function<void(ConfigApply::Handler)>& begin)
    {
        std::optional<ApplyReport> report;
        begin([&report](const ApplyReport& done) { report = done; });
        runUntil(m_context, [&report] { return report.has_value(); });
        return *report;
    }

    ApplyReport apply(const Config& config, const ApplyOptions& applyOptions = {})
    {
        ConfigApply change(m_context, m_options, applyOptions);
        return awaitReport([&](ConfigApply::Handler handler) { change.apply(config, std::move(handler)); });
    }

    ApplyReport setDataCentreOut(const std::string& name, bool out)
    {
        ConfigApply change(m_context, m_options);
        return awaitReport([&](ConfigApply::Handler handler) { change.setDataCentreOut(name, out, std::move(handler)); });
    }

    std::optional<Config> fetch()
    {
        std::optional<Config> fetched;
        bool done = false;
        ConfigFetch reading(m_context, m_options, [&](std::optional<Config> config, PlatformError) {
            fetched = std::move(config);
            done = true;
        });
        runUntil(m_context, [&done] { return done; });
        return fetched;
    }

    std::size_t countCalls(std::string_view method, std::string_view target) const
    {
        const std::string wanted = std::string(R"("method":")").append(method).append("\"");
        return static_cast<std::size_t>(std::count_if(m_history.begin(), m_history.end(), [&](const std::string& line) {
            return line.find(wanted) != std::string::npos && line.find(target) != std::string::npos;
        }));
    }

    asio::io_context m_context;
    std::vector<std::string> m_history;
    std::unique_ptr<PlatformServer> m_server;
    PlatformOptions m_options;
};

}
