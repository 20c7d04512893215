#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "catalogue/catalogue.h"
#include "catalogue/catalogue_change.h"
#include "http/http_server.h"
#include "store/table.h"

namespace chivewing {

// What the desk reaches outside for.
struct CatalogueDeskPorts {
  std::function<void(std::uint64_t read, const std::vector<std::string>& keys)>
      read_rows;
  std::function<void(const TableTransaction&)> commit;
  std::function<void(std::uint64_t call, HttpReply)> answer;
  std::function<void(const std::vector<TableRow>&)> rows_committed;
  // The time of day as milliseconds since 1970 (UTC), for records.
  std::function<std::chrono::milliseconds()> wall_time;
};

// Serves the operators' calls on the catalogue: reads from this process's copy,
// changes and history through the table.
class CatalogueDesk {
 public:
  // `name` makes the write ids of this process unique.
  CatalogueDesk(std::string name, CatalogueDeskPorts ports);

  // `age` is how old the copy is.
  void Handle(TimePoint now, const HttpCall& call, const Catalogue& catalogue,
              Duration age);
  void OnRead(TimePoint now, std::uint64_t read, const ReadAnswer& answer);
  void OnCommit(TimePoint now, const std::string& write_id,
                const CommitAnswer& answer);
  // Sends the commits that are due again.
  void Tick(TimePoint now);

 private:
  struct OpenChange {
    std::uint64_t call = 0;
    CatalogueChange change;
  };
  struct DueCommit {
    TimePoint at;
    TableTransaction transaction;
  };

  void List(const HttpCall& call, const Catalogue& catalogue, Duration age);
  void Show(const HttpCall& call, const std::string& name,
            const Catalogue& catalogue, Duration age);
  void AskHistory(const HttpCall& call, const std::string& name,
                  const Catalogue& catalogue);
  void Put(TimePoint now, const HttpCall& call, const std::string& name);
  void Remove(TimePoint now, const HttpCall& call, const std::string& name);
  void StartChange(TimePoint now, std::uint64_t call, CatalogueEdit edit);
  void Apply(TimePoint now, const std::string& id, ChangeEffects& effects);
  void Finish(const std::string& id, const FinishChange& end);
  void Refuse(std::uint64_t call, const Error& error);

  std::string name_;
  CatalogueDeskPorts ports_;
  std::map<std::string, OpenChange> changes_;             // by write id
  std::map<std::uint64_t, std::string> change_reads_;     // write id by read
  std::map<std::uint64_t, std::uint64_t> history_reads_;  // call by read
  std::vector<DueCommit> due_commits_;
  std::uint64_t next_id_ = 1;
};

}  // namespace chivewing
