#include "ProcessLauncher.h"

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include <boost/process/args.hpp>
#include <boost/process/child.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/io.hpp>
#include <boost/process/pipe.hpp>
#include <linux/close_range.h>
#include <sys/wait.h>
#include <unistd.h>

namespace toucanstand {

namespace process = boost::process;

struct ProcessLauncher::Child
{
  process::ipstream output;
  process::child process;
};

namespace {

/// Lets the child inherit standard input, output and error only. A listener that it
/// inherited would accept connections after the test closed it.
void KeepStandardFiles()
{
  constexpr unsigned kFirstOther = 3;
  (void)::close_range(kFirstOther, ~0U, CLOSE_RANGE_CLOEXEC);
}

} // namespace

ProcessLauncher::ProcessLauncher(const std::string& aName,
                                 const std::vector<std::string>& aArguments,
                                 const std::string& aLogFile)
  : child(std::make_unique<Child>())
{
  // An absolute name replaces the directory.
  const auto program =
    (std::filesystem::path(TOUCANSTAND_PROGRAM_DIRECTORY) / aName).string();
  const auto setUp = [](auto&) { KeepStandardFiles(); };
  if (aLogFile.empty()) {
    this->child->process = process::child(program,
                                          process::args(aArguments),
                                          process::std_out > this->child->output,
                                          process::extend::on_exec_setup = setUp);
    return;
  }
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> log(
    std::fopen(aLogFile.c_str(), "ae"), &std::fclose);
  if (!log) {
    throw std::runtime_error("cannot write " + aLogFile);
  }
  this->child->process = process::child(program,
                                        process::args(aArguments),
                                        (process::std_out & process::std_err) > log.get(),
                                        process::extend::on_exec_setup = setUp);
}

ProcessLauncher::~ProcessLauncher()
{
  if (this->child->process.running()) {
    this->Signal(SIGCONT);
    this->Signal(SIGKILL);
    this->Wait();
  }
}

Endpoint ProcessLauncher::ReadEndpoint(const std::string& aWord)
{
  std::string line;
  std::getline(this->child->output, line);
  const std::string start = aWord + " ";
  const auto endpoint =
    line.starts_with(start) ? Endpoint::Parse(line.substr(start.size())) : std::nullopt;
  if (!endpoint) {
    throw std::runtime_error("expected '" + start + "ADDRESS:PORT', got '" + line + "'");
  }
  return *endpoint;
}

std::string ProcessLauncher::ReadAll()
{
  return { std::istreambuf_iterator<char>(this->child->output), {} };
}

void ProcessLauncher::Signal(int aSignal)
{
  ::kill(this->child->process.id(), aSignal);
}

std::future<std::chrono::steady_clock::time_point> ProcessLauncher::ObserveEnd() const
{
  const auto id = static_cast<id_t>(this->child->process.id());
  return std::async(std::launch::async, [id] {
    siginfo_t info{};
    while (::waitid(P_PID, id, &info, WEXITED | WNOWAIT) != 0 && errno == EINTR) {
    }
    return std::chrono::steady_clock::now();
  });
}

std::size_t ProcessLauncher::PeakMemory() const
{
  constexpr std::size_t kKibibytesPerMebibyte = 1024;
  std::ifstream status("/proc/" + std::to_string(this->child->process.id()) + "/status");
  for (std::string word; status >> word;) {
    std::size_t kibibytes = 0;
    if (word == "VmHWM:" && status >> kibibytes) {
      return kibibytes / kKibibytesPerMebibyte;
    }
  }
  throw std::runtime_error("the program has ended");
}

std::size_t ProcessLauncher::OpenDescriptors() const
{
  const auto folder = "/proc/" + std::to_string(this->child->process.id()) + "/fd";
  const std::filesystem::directory_iterator descriptors(folder);
  return static_cast<std::size_t>(std::distance(std::filesystem::begin(descriptors),
                                                std::filesystem::end(descriptors)));
}

std::string ProcessLauncher::DescribeThreads() const
{
  const auto tasks = "/proc/" + std::to_string(this->child->process.id()) + "/task";
  std::error_code error;
  std::string text;
  for (const auto& task : std::filesystem::directory_iterator(tasks, error)) {
    for (const auto* file : { "stat", "wchan" }) {
      std::ifstream input(task.path() / file);
      std::string line;
      std::getline(input, line);
      text += line + " ";
    }
  }
  return text;
}

int ProcessLauncher::Wait()
{
  this->child->process.wait();
  const int status = this->child->process.native_exit_code();
  return WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
}

} // namespace toucanstand
