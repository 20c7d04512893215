#include "cell/entry_host_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <utility>

extern char** environ;

namespace chivewing {
namespace {

constexpr int kLogMode = 0600;

}  // namespace

std::string ProgramFolder() {
  const char* folder = std::getenv("CHIVEWING_BIN");
  return folder == nullptr ? "." : folder;
}

std::string OtherProgramFolder() {
  const char* folder = std::getenv("CHIVEWING_OTHER_BIN");
  return folder == nullptr ? ProgramFolder() : folder;
}

EntryHostProcess::EntryHostProcess(std::string settings_path,
                                   std::string log_path, std::string verb)
    : settings_path_(std::move(settings_path)),
      log_path_(std::move(log_path)),
      verb_(std::move(verb)) {}

EntryHostProcess::~EntryHostProcess() { Kill(); }

void EntryHostProcess::Start() {
  const std::string folder =
      program_folder_.empty() ? ProgramFolder() : program_folder_;
  const std::string program = folder + "/chivewing";
  std::string option = "--settings";
  std::string name = program;
  std::array<char*, 5> words = {name.data(), verb_.data(), option.data(),
                                settings_path_.data(), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  for (const int fd : {1, 2}) {
    posix_spawn_file_actions_addopen(&actions, fd, log_path_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  }
  posix_spawn(&pid_, program.c_str(), &actions, nullptr, words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
}

void EntryHostProcess::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

int EntryHostProcess::Reap() {
  int status = 0;
  waitpid(pid_, &status, 0);
  pid_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void EntryHostProcess::Kill() {
  if (pid_ <= 0) return;
  Signal(SIGKILL);
  Reap();
}

int EntryHostProcess::StopGracefully() {
  Signal(SIGTERM);
  return Reap();
}

}  // namespace chivewing
