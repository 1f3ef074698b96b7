#include <unistd.h>

#include <asio/io_context.hpp>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "libraries/load/load_generator.h"
#include "services/agaterun/command.h"

namespace agaterun {

namespace {

struct LoadOptions {
  char* nodes = nullptr;
  char* mix = nullptr;
  double rate = 100;
  double seconds = 10;
  char* surge = nullptr;
  char* trigger = nullptr;
  char* resend_policy = nullptr;
  int resends = 0;
  int try_timeout_ms = 0;
  int connections = 512;
  int seed = 1;
  double warm_up = 1;
  char* csv = nullptr;
  char* endings = nullptr;
};

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

// Reads "20:40" or "20:40:2.5": times in seconds and a factor.
std::optional<load::Surge> ParseSurge(const char* text) {
  double from = 0;
  double until = 0;
  double factor = 1;
  if (std::sscanf(text, "%lf:%lf:%lf", &from, &until, &factor) < 2 ||
      until <= from || factor <= 0) {
    return std::nullopt;
  }
  return load::Surge{
      .from = Seconds(from), .until = Seconds(until), .factor = factor};
}

// Returns the option that is wrong with its remedy, or nothing.
std::string CheckOptions(const LoadOptions& load) {
  if (load.nodes == nullptr) {
    return "name the nodes with --nodes IP:PORT,IP:PORT";
  }
  if (load.mix == nullptr) {
    return "name a mix of requests with --mix FILE";
  }
  if (load.rate <= 0 || load.seconds <= 0) {
    return "--rate and --seconds take numbers above 0";
  }
  if (load.connections <= 0 || load.resends < 0) {
    return "--connections takes a number above 0, --resends one of at least 0";
  }
  if (load.surge != nullptr && !ParseSurge(load.surge)) {
    return "--surge takes FROM:UNTIL:FACTOR in seconds, for instance 10:30:2";
  }
  if (load.trigger != nullptr && !ParseSurge(load.trigger)) {
    return "--trigger takes FROM:UNTIL in seconds, for instance 10:30";
  }
  if (load.resend_policy != nullptr &&
      !FromName(client::kResendPolicyNames, load.resend_policy)) {
    return "--resend-policy takes none, at-once or retry-after";
  }
  return "";
}

load::LoadGenerator::Options MakeOptions(const LoadOptions& load,
                                         std::vector<NodeAddress> nodes) {
  load::LoadGenerator::Options options{
      .nodes = std::move(nodes),
      .rate = load.rate,
      .length = Seconds(load.seconds),
      .resends = load.resends,
      .try_timeout = std::chrono::milliseconds(load.try_timeout_ms),
      .connections = static_cast<std::size_t>(load.connections),
      .seed = static_cast<std::uint64_t>(load.seed)};
  if (load.surge != nullptr) {
    options.surges.push_back(*ParseSurge(load.surge));
  }
  if (load.resend_policy != nullptr) {
    options.resend_policy =
        *FromName(client::kResendPolicyNames, load.resend_policy);
  }
  return options;
}

void PrintSummary(const LoadOptions& load,
                  const load::LoadGenerator& generator) {
  const auto& report = generator.Report();
  report.WriteTable(std::cout);
  std::printf("goodput %.1f whole answers/s over the whole run, %lu dropped\n",
              report.Goodput(Duration{}, Seconds(load.seconds)),
              static_cast<unsigned long>(generator.Dropped()));
  if (load.trigger == nullptr) {
    return;
  }
  const auto surge = *ParseSurge(load.trigger);
  const load::Trigger trigger{.from = surge.from, .until = surge.until};
  const auto warm_up = Seconds(load.warm_up);
  std::printf("goodput before the trigger %.1f/s, during %.1f/s\n",
              report.Goodput(warm_up, trigger.from),
              report.Goodput(trigger.from, trigger.until));
  const auto recovery = report.RecoveryTime(trigger, warm_up);
  if (recovery) {
    std::printf("recovery time %.1f s\n", ToSeconds(*recovery));
  } else {
    std::puts("recovery time: not recovered within the run");
  }
}

int Run(const LoadOptions& load,
        std::vector<NodeAddress> nodes,
        const load::RequestMix& mix) {
  asio::io_context io(1);
  auto options = MakeOptions(load, std::move(nodes));
  std::ofstream endings;
  if (load.endings != nullptr) {
    endings.open(load.endings);
    endings << "id,request,ending\n";
    options.on_end = [&endings, &mix](const std::string& id,
                                      const load::LoadSample& sample) {
      endings << id << "," << mix.Kinds()[sample.kind].name << ","
              << NameOf(load::kEndingNames, sample.ending) << "\n";
    };
  }
  load::LoadGenerator generator(io, std::move(options), mix);
  const bool is_terminal = isatty(STDERR_FILENO) != 0;
  generator.Start([&](int second) {
    if (is_terminal) {
      std::fprintf(stderr, "\r%4d s  goodput %8.1f/s  in flight %6zu ", second,
                   generator.Report().Goodput(std::chrono::seconds(second - 1),
                                              std::chrono::seconds(second)),
                   generator.InFlight());
    }
  });
  // Kept connections and probes never run out of work, so the end is counted.
  const auto end = std::chrono::steady_clock::now() + Seconds(load.seconds);
  io.run_until(end);
  while (generator.InFlight() > 0) {
    io.run_one();
  }
  if (is_terminal) {
    std::fputc('\n', stderr);
  }
  PrintSummary(load, generator);
  if (load.csv != nullptr) {
    std::ofstream csv(load.csv);
    generator.Report().WriteCsv(csv);
    if (!csv) {
      std::fprintf(stderr, "agaterun load: can't write %s\n", load.csv);
      return kFailure;
    }
  }
  return kSuccess;
}

}  // namespace

int RunLoad(int argc, const char** argv) {
  LoadOptions load;
  const poptOption options[] = {
      {"nodes", 'n', POPT_ARG_STRING, &load.nodes, 0,
       "caller listeners of the nodes to ask", "IP:PORT,..."},
      {"mix", 'm', POPT_ARG_STRING, &load.mix, 0,
       "INI file with one [request NAME] section per kind", "FILE"},
      {"rate", 'r', POPT_ARG_DOUBLE, &load.rate, 0,
       "requests per second, whatever the answers (default 100)", "N"},
      {"seconds", 's', POPT_ARG_DOUBLE, &load.seconds, 0,
       "length of the run (default 10)", "S"},
      {"surge", 0, POPT_ARG_STRING, &load.surge, 0,
       "multiply the rate for a time", "FROM:UNTIL:FACTOR"},
      {"trigger", 0, POPT_ARG_STRING, &load.trigger, 0,
       "report goodput during this time, and recovery after it", "FROM:UNTIL"},
      {"warm-up", 0, POPT_ARG_DOUBLE, &load.warm_up, 0,
       "seconds that don't count as before the trigger (default 1)", "S"},
      {"resend-policy", 0, POPT_ARG_STRING, &load.resend_policy, 0,
       "none, at-once or retry-after (default none)", "POLICY"},
      {"resends", 0, POPT_ARG_INT, &load.resends, 0,
       "resends of one request at most", "N"},
      {"try-timeout", 0, POPT_ARG_INT, &load.try_timeout_ms, 0,
       "give up a try and resend after so many milliseconds", "MS"},
      {"connections", 'c', POPT_ARG_INT, &load.connections, 0,
       "connections kept per node (default 512)", "N"},
      {"seed", 0, POPT_ARG_INT, &load.seed, 0,
       "chooses arrivals, kinds and nodes (default 1)", "N"},
      {"csv", 0, POPT_ARG_STRING, &load.csv, 0,
       "write endings per kind and tenth of a second", "FILE"},
      {"endings", 0, POPT_ARG_STRING, &load.endings, 0,
       "write id, kind and ending of every request", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  const PoptContext context(
      poptGetContext("agaterun load", argc, argv, options, 0),
      &poptFreeContext);
  if (!ParseOptions(context.get(), "load")) {
    return kUsage;
  }
  if (const auto fault = CheckOptions(load); !fault.empty()) {
    std::fprintf(stderr, "agaterun load: %s\n", fault.c_str());
    return kUsage;
  }
  const auto nodes = ParseAddresses(load.nodes);
  if (!nodes) {
    std::fprintf(stderr, "agaterun load: %s\n", nodes.error().message.c_str());
    return kUsage;
  }
  const auto text = ReadFile(load.mix);
  if (!text) {
    std::fprintf(stderr, "agaterun load: %s\n", text.error().message.c_str());
    return kBadInput;
  }
  auto mix = load::RequestMix::Parse(*text);
  if (!mix) {
    std::fprintf(stderr, "%s: %s\n", load.mix, mix.error().message.c_str());
    return kBadInput;
  }
  return Run(load, *nodes, *mix);
}

}  // namespace agaterun
