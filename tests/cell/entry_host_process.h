#pragma once

#include <sys/types.h>

#include <string>

namespace chivewing {

// A process `chivewing serve` that a test started.
class EntryHostProcess {
 public:
  // `settings_path` names its settings file; its log goes to `log_path`.
  EntryHostProcess(std::string settings_path, std::string log_path);
  ~EntryHostProcess();  // kills and reaps it
  EntryHostProcess(const EntryHostProcess&) = delete;
  EntryHostProcess& operator=(const EntryHostProcess&) = delete;

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
  pid_t pid_ = -1;
};

}  // namespace chivewing
