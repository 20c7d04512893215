#pragma once

#include <sys/types.h>

#include <string>
#include <utility>

namespace chivewing {

// Folder of the program under test, from CHIVEWING_BIN.
std::string ProgramFolder();
// Folder of another build of the program, from CHIVEWING_OTHER_BIN, for tests
// in which both builds serve together; without it the program under test.
std::string OtherProgramFolder();

// An entry host that a test runs as a process, by default `chivewing serve`.
class EntryHostProcess {
 public:
  // `settings_path` names its settings file; its log goes to `log_path`. `verb`
  // is the verb of the program that runs the host.
  EntryHostProcess(std::string settings_path, std::string log_path,
                   std::string verb = "serve");
  ~EntryHostProcess();  // kills and reaps it
  EntryHostProcess(const EntryHostProcess&) = delete;
  EntryHostProcess& operator=(const EntryHostProcess&) = delete;

  // Folder of the program that the next Start runs; CHIVEWING_BIN by default.
  void set_program_folder(std::string folder) {
    program_folder_ = std::move(folder);
  }
  void Start();
  void Signal(int signal) const;
  // Kills it at once and reaps it.
  void Kill();
  // Asks for a planned stop and waits for it; gives the exit status, -1 when it
  // ended by a signal.
  int StopGracefully();
  bool is_running() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }

 private:
  int Reap();

  std::string settings_path_;
  std::string log_path_;
  std::string verb_;
  std::string program_folder_;  // empty: CHIVEWING_BIN
  pid_t pid_ = -1;
};

}  // namespace chivewing
