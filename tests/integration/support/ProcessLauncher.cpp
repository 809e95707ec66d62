#include "ProcessLauncher.h"

#include <csignal>
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
                                 const std::vector<std::string>& aArguments)
  : child(std::make_unique<Child>())
{
  this->child->process = process::child(
    TOUCANSTAND_PROGRAM_DIRECTORY "/" + aName,
    process::args(aArguments),
    process::std_out > this->child->output,
    process::extend::on_exec_setup = [](auto&) { KeepStandardFiles(); });
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

int ProcessLauncher::Wait()
{
  this->child->process.wait();
  const int status = this->child->process.native_exit_code();
  return WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
}

} // namespace toucanstand
