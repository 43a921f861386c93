// scale-run: runs fleets of several sizes one after another and prints what each daemon spends, by role and by message,
// how long a change and a loss take to be known, and the slopes between the sizes.
#include <getopt.h>
#include <sys/sysinfo.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "scale/loopback.hpp"
#include "scale/scale.hpp"

using namespace mothwalk;
using namespace mothwalk::scale;

namespace {

int usage(const std::string& what) {
  std::cerr << "scale-run: " << what << "\n"
            << "scale-run [--daemons 20,60,120] [--control 5] [--storage 6] [--zones 7] [--runners 600] [--kinds 4] "
               "[--lanes 12]\n"
            << "          [--requests 0] [--changes 10] [--seconds 10] [--seed 1] [--table FILE]\n"
            << "scale-run --hollow 20,60,120 [--real 5] [--control 5] [--program target/mothwalk-daemon] [--runners "
               "600] [--changes 10] [--seconds 10]\n"
            << "The first runs on virtual time in one process; the second over loopback, with real daemons beside "
               "hollow ones.\n";
  return 2;
}

std::optional<std::size_t> number(const std::string& text) {
  if (text.empty() || text.size() > 7 || text.find_first_not_of("0123456789") != std::string::npos) return std::nullopt;
  return std::stoul(text);
}

void print(const Figures& figures) {
  const double daemons = static_cast<double>(figures.size.daemons);
  std::cout << std::fixed << std::setprecision(1) << "\n"
            << figures.size.daemons << " daemons (" << figures.size.control << " of control, " << figures.size.storage
            << " of storage), " << figures.size.runners << " runners, " << figures.requests_answered
            << " requests/s answered\n";
  auto role = [](const char* name, const Role& each) {
    std::cout << "  " << name << ": " << each.processor / 1e4 << "% of a core, " << each.bytes_out << " B/s out, "
              << each.bytes_in << " B/s in, a daemon\n";
  };
  std::cout << std::setprecision(2);
  role("edge", figures.edge);
  role("control", figures.control);
  role("storage", figures.storage);
  std::cout << "  memory " << figures.memory / 1e6 << " MB a daemon\n";
  std::cout << "  change in force after (median, 99 in 100, worst): " << figures.change.median << ", "
            << figures.change.most << ", " << figures.change.worst << " ms\n";
  std::cout << "  loss known to all after: edge " << figures.lost_edge << " ms, control " << figures.lost_control
            << " ms\n";
  std::cout << "  messages a daemon and second, bytes a daemon and second:\n";
  for (const auto& [name, traffic] : figures.messages)
    std::cout << "    " << std::left << std::setw(28) << name << std::right << std::setw(10)
              << static_cast<double>(traffic.messages) / figures.seconds / daemons << std::setw(12)
              << static_cast<double>(traffic.bytes) / figures.seconds / daemons << "\n";
  for (const auto& each : figures.broken) std::cout << "  FAILED: " << each << "\n";
}

const std::vector<std::pair<std::string, std::function<double(const Figures&)>>> columns{
    {"daemons",
     [](const Figures& f) {
       return static_cast<double>(f.size.daemons);
     }},
    {"runners",
     [](const Figures& f) {
       return static_cast<double>(f.size.runners);
     }},
    {"edge_cpu_percent",
     [](const Figures& f) {
       return f.edge.processor / 1e4;
     }},
    {"edge_out",
     [](const Figures& f) {
       return f.edge.bytes_out;
     }},
    {"edge_in",
     [](const Figures& f) {
       return f.edge.bytes_in;
     }},
    {"control_cpu_percent",
     [](const Figures& f) {
       return f.control.processor / 1e4;
     }},
    {"control_out",
     [](const Figures& f) {
       return f.control.bytes_out;
     }},
    {"control_in",
     [](const Figures& f) {
       return f.control.bytes_in;
     }},
    {"storage_cpu_percent",
     [](const Figures& f) {
       return f.storage.processor / 1e4;
     }},
    {"storage_out",
     [](const Figures& f) {
       return f.storage.bytes_out;
     }},
    {"storage_in",
     [](const Figures& f) {
       return f.storage.bytes_in;
     }},
    {"memory_mb",
     [](const Figures& f) {
       return f.memory / 1e6;
     }},
    {"change_median_ms",
     [](const Figures& f) {
       return static_cast<double>(f.change.median);
     }},
    {"change_worst_ms",
     [](const Figures& f) {
       return static_cast<double>(f.change.worst);
     }},
    {"lost_edge_ms",
     [](const Figures& f) {
       return static_cast<double>(f.lost_edge);
     }},
    {"lost_control_ms", [](const Figures& f) {
       return static_cast<double>(f.lost_control);
     }}};

// Each size runs in a process of its own, so that memory is its own too, and one that dies is named.
std::vector<double> run_apart(const Size& size, bool& whole) {
  int ends[2];
  std::cout << std::flush;
  if (::pipe(ends) != 0) return {};
  const pid_t child = ::fork();
  if (child < 0) return {};
  if (child == 0) {
    const Figures figures = run(size);
    print(figures);
    std::cout << std::flush;
    std::vector<double> row;
    for (const auto& [name, value] : columns) row.push_back(value(figures));
    const auto length = static_cast<ssize_t>(row.size() * sizeof(double));
    ::_exit(::write(ends[1], row.data(), static_cast<std::size_t>(length)) == length && figures.broken.empty() ? 0 : 1);
  }
  ::close(ends[1]);
  std::vector<double> row(columns.size());
  const bool reported =
      ::read(ends[0], row.data(), row.size() * sizeof(double)) == static_cast<ssize_t>(row.size() * sizeof(double));
  ::close(ends[0]);
  int status = 0;
  ::waitpid(child, &status, 0);
  whole = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  if (!reported)
    std::cerr << "scale-run: the process of " << size.daemons << " daemons died"
              << (WIFSIGNALED(status) ? std::string(" by signal ") + std::to_string(WTERMSIG(status)) : std::string())
              << "\n";
  return reported ? row : std::vector<double>();
}

}  // namespace

int main(int count, char** words) {
  Size size;
  std::vector<std::size_t> daemons{20, 60, 120};
  std::string table;
  bool over_loopback = false;
  LoopbackSize loopback;
  loopback.program = "target/mothwalk-daemon";
  const option options[] = {{"daemons", 1, nullptr, 'd'}, {"control", 1, nullptr, 'c'},  {"storage", 1, nullptr, 'o'},
                            {"zones", 1, nullptr, 'z'},   {"runners", 1, nullptr, 'r'},  {"kinds", 1, nullptr, 'k'},
                            {"lanes", 1, nullptr, 'l'},   {"requests", 1, nullptr, 'q'}, {"changes", 1, nullptr, 'n'},
                            {"seconds", 1, nullptr, 's'}, {"seed", 1, nullptr, 'e'},     {"table", 1, nullptr, 't'},
                            {"hollow", 1, nullptr, 'h'},  {"real", 1, nullptr, 'a'},     {"program", 1, nullptr, 'p'},
                            {nullptr, 0, nullptr, 0}};
  for (int found; (found = getopt_long(count, words, "", options, nullptr)) != -1;) {
    if (found == '?') return usage("a flag is not known or lacks its value");
    const std::string text(optarg);
    if (found == 't') {
      table = text;
      continue;
    }
    if (found == 'p') {
      loopback.program = text;
      continue;
    }
    if (found == 'd' || found == 'h') {
      over_loopback = found == 'h';
      daemons.clear();
      std::istringstream list(text);
      for (std::string each; std::getline(list, each, ',');) {
        if (!number(each)) return usage("'" + each + "' is no number of daemons");
        daemons.push_back(*number(each));
      }
      continue;
    }
    const auto value = number(text);
    if (!value) return usage("'" + text + "' is not a number from 0 to 9999999");
    if (found == 'a') loopback.real = *value;
    if (found == 'c') size.control = loopback.control = *value;
    if (found == 'o') size.storage = *value;
    if (found == 'z') size.zones = *value;
    if (found == 'r') size.runners = loopback.runners = *value;
    if (found == 'k') size.kinds = *value;
    if (found == 'l') size.lanes = *value;
    if (found == 'q') size.requests = static_cast<double>(*value);
    if (found == 'n') size.changes = loopback.changes = *value;
    if (found == 's') size.window = std::chrono::seconds(loopback.seconds = std::max<std::size_t>(*value, 1));
    if (found == 'e') size.seed = *value;
  }
  if (optind < count) return usage(std::string("'") + words[optind] + "' is not a flag");
  struct sysinfo machine {};
  ::sysinfo(&machine);
  const std::uint64_t memory = static_cast<std::uint64_t>(machine.totalram) * machine.mem_unit;
  if (over_loopback) {
    for (const std::size_t each : daemons) {
      loopback.hollow = each;
      if (auto result = check_size(loopback, memory); error_of(result))
        return usage(error_of(result)->field + ": " + error_of(result)->message + "; " + error_of(result)->remedy);
    }
    bool sound = true;
    for (const std::size_t each : daemons) {
      loopback.hollow = each;
      for (const auto& wrong : run(loopback)) {
        std::cout << "  FAILED: " << wrong << "\n";
        sound = false;
      }
      std::cout << std::flush;
    }
    return sound ? 0 : 1;
  }
  for (const std::size_t each : daemons) {
    Size checked = size;
    checked.daemons = each;
    if (auto result = check_size(checked, memory); error_of(result))
      return usage(error_of(result)->field + ": " + error_of(result)->message + "; " + error_of(result)->remedy);
  }
  std::vector<std::vector<double>> all;
  bool good = true;
  for (const std::size_t each : daemons) {
    size.daemons = each;
    bool whole = true;
    all.push_back(run_apart(size, whole));
    good = good && whole;
    if (all.back().empty()) return 1;
  }
  if (all.size() > 1) {
    std::cout << "\nslopes for each further daemon, from " << daemons.front() << " to " << daemons.back() << ":\n"
              << std::fixed << std::setprecision(3);
    for (std::size_t index = 2; index < columns.size(); ++index)
      std::cout << "  " << columns[index].first << ": "
                << (all.back()[index] - all.front()[index]) / (all.back()[0] - all.front()[0]) << "\n";
  }
  if (!table.empty()) {
    std::ofstream file(table);
    for (const auto& [name, value] : columns) file << name << "\t";
    file << "\n";
    for (const auto& row : all) {
      for (const double value : row) file << value << "\t";
      file << "\n";
    }
  }
  return good ? 0 : 1;
}
