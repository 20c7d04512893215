#pragma once

#include <sys/types.h>

#include <string>
#include <utility>

namespace chivewing {

// Folder of the program under test: CHIVEWING_BIN, or "." if it is not set.
std::string ProgramFolder();
// Folder of a second build of the program, for tests that run both builds
// together: CHIVEWING_OTHER_BIN, or ProgramFolder() if it is not set.
std::string OtherProgramFolder();

// An entry host that a test runs as a child process: `chivewing serve`, unless
// another verb is given.
class EntryHostProcess {
 public:
  // `settings_path` is the host's settings file; its output is appended to
  // `log_path`. `verb` is the verb of the program that runs the host.
  EntryHostProcess(std::string settings_path, std::string log_path,
                   std::string verb = "serve");
  ~EntryHostProcess();  // kills and reaps it
  EntryHostProcess(const EntryHostProcess&) = delete;
  EntryHostProcess& operator=(const EntryHostProcess&) = delete;

  // Folder of the program that the next Start() runs; ProgramFolder() by
  // default.
  void set_program_folder(std::string folder) {
    program_folder_ = std::move(folder);
  }
  void Start();
  void Signal(int signal) const;
  // Sends SIGKILL and reaps the process.
  void Kill();
  // Sends SIGTERM and waits until the process ends. Returns its exit status, or
  // -1 if a signal ended it.
  int StopGracefully();
  bool is_running() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }

 private:
  int Reap();

  std::string settings_path_;
  std::string log_path_;
  std::string verb_;
  std::string program_folder_;  // empty: ProgramFolder()
  pid_t pid_ = -1;
};

}  // namespace chivewing
