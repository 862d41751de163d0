#include "admissionreport.h"
#include "libmodel/experimentfile.h"
#include "libmodel/seededhistory.h"
#include "libmodel/simulation.h"
#include "report.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>

ABSL_FLAG(std::string, json, "", "write the results as JSON to this file");
ABSL_FLAG(std::string, svg, "", "write a plot of the requests answered in each second to this file");
ABSL_FLAG(std::uint64_t, seed, 0, "use this seed instead of the experiment's; 0 keeps the experiment's seed. With --histories: the first seed");
ABSL_FLAG(std::uint64_t, histories, 0, "run and check this many seeded histories instead of an experiment");
ABSL_FLAG(std::string, without, "none", "disable this guard in the histories, to show that the checker detects the violations that it prevents");
ABSL_FLAG(bool, admission, false, "run the model of admission under overload instead of an experiment");
ABSL_FLAG(bool, verbose, false, "print the events of each broken promise");

namespace kingcuptrail {

namespace {

    enum class ExitCode : std::uint8_t {
        Done = 0,
        BadUsage = 2,
        BadExperiment = 3,
        CannotRead = 4,
        CannotWrite = 5,
        PromiseBroken = 6,
    };

    std::optional<std::string> readFile(const std::string& name)
    {
        std::ifstream file(name);
        if (!file)
            return std::nullopt;
        return std::string(std::istreambuf_iterator<char>(file), {});
    }

    bool writeFile(const std::string& name, const std::string& content)
    {
        if (name.empty())
            return true;
        std::ofstream file(name);
        file << content;
        return file.good();
    }

    std::vector<PolicyResult> runPolicies(const ExperimentSpec& experiment)
    {
        std::vector<PolicyResult> results;
        for (const PolicyName policy : experiment.policies) {
            Simulation simulation(experiment, policyOptions(policy));
            simulation.run();
            results.push_back({ policy, simulation.metrics() });
        }
        return results;
    }

    void print(std::uint64_t seed, const Violation& violation)
    {
        std::cout << "seed " << seed << ": " << nameOf(violation.promise) << ": " << violation.text << '\n';
        if (!absl::GetFlag(FLAGS_verbose))
            return;
        for (const HistoryEvent& event : violation.events)
            std::cout << "    " << toJsonLine(event) << '\n';
    }

    ExitCode runHistories(std::uint64_t count, std::uint64_t firstSeed, DisabledGuard guard)
    {
        std::uint64_t broken = 0;
        std::uint64_t events = 0;
        for (std::uint64_t seed = firstSeed; seed < firstSeed + count; ++seed) {
            const SeededHistory history = runSeededHistory(seed, guard);
            events += history.events.size();
            broken += history.result.violations.empty() ? 0 : 1;
            for (const Violation& violation : history.result.violations)
                print(seed, violation);
        }
        std::cout << count << " histories from seed " << firstSeed << ", " << events << " events, " << broken << " with a broken promise\n";
        return broken == 0 ? ExitCode::Done : ExitCode::PromiseBroken;
    }

    ExitCode runAdmission(std::uint64_t seed)
    {
        const std::vector<AdmissionRow> rows = runAdmissionLoads(seed);
        std::cout << toTable(rows);
        const std::string svg = absl::GetFlag(FLAGS_svg);
        return svg.empty() || writeFile(svg, toPlot(rows)) ? ExitCode::Done : ExitCode::CannotWrite;
    }

    ExitCode runExperiment(const std::string& fileName)
    {
        const auto text = readFile(fileName);
        if (!text) {
            std::cerr << "cannot read the experiment file " << fileName << '\n';
            return ExitCode::CannotRead;
        }
        std::vector<Fault> faults;
        auto experiment = parseExperiment(*text, faults);
        for (const Fault& fault : faults)
            std::cerr << fileName << ": " << nameOf(fault.kind) << " at " << fault.place << ": " << fault.detail << '\n';
        if (!experiment)
            return ExitCode::BadExperiment;
        if (const std::uint64_t seed = absl::GetFlag(FLAGS_seed))
            experiment->seed = seed;
        const auto results = runPolicies(*experiment);
        std::cout << toTable(*experiment, results);
        const bool isWritten = writeFile(absl::GetFlag(FLAGS_json), toJson(*experiment, results))
            && writeFile(absl::GetFlag(FLAGS_svg), toPlot(*experiment, results));
        return isWritten ? ExitCode::Done : ExitCode::CannotWrite;
    }

}

}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Runs an experiment on a model of a deployment in virtual time.\n"
                                 "  kingcuptrail-bench [--seed=S] [--json=FILE] [--svg=FILE] EXPERIMENT.json\n"
                                 "  kingcuptrail-bench --histories=N [--seed=S] [--without=GUARD] [--verbose]\n"
                                 "  kingcuptrail-bench --admission [--seed=S] [--svg=FILE]");
    const std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
    const auto guard = kingcuptrail::fromName<kingcuptrail::DisabledGuard>(absl::GetFlag(FLAGS_without));
    if (!guard) {
        std::cerr << "--without: unknown guard " << absl::GetFlag(FLAGS_without) << "; the guards are";
        for (const std::string_view name : kingcuptrail::EnumNames<kingcuptrail::DisabledGuard>::names)
            std::cerr << ' ' << name;
        std::cerr << '\n';
        return static_cast<int>(kingcuptrail::ExitCode::BadUsage);
    }
    if (const std::uint64_t count = absl::GetFlag(FLAGS_histories); count > 0)
        return static_cast<int>(kingcuptrail::runHistories(count, std::max<std::uint64_t>(1, absl::GetFlag(FLAGS_seed)), *guard));
    if (absl::GetFlag(FLAGS_admission))
        return static_cast<int>(kingcuptrail::runAdmission(std::max<std::uint64_t>(1, absl::GetFlag(FLAGS_seed))));
    if (arguments.size() != 2) {
        std::cerr << absl::ProgramUsageMessage() << '\n';
        return static_cast<int>(kingcuptrail::ExitCode::BadUsage);
    }
    return static_cast<int>(kingcuptrail::runExperiment(arguments[1]));
}
