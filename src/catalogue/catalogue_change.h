#pragma once

#include <chrono>
#include <string>

#include "base/result.h"
#include "base/time.h"
#include "catalogue/catalogue_messages.h"
#include "catalogue/catalogue_record.h"
#include "catalogue/change_effect.h"
#include "store/table.h"

namespace chivewing {

// State machine of one change of the catalogue, from an operator's edit to its
// outcome. Takes responses of the table and returns effects for the caller to
// carry out; does no I/O itself.
//
// The current row is read from the table because the local copy may lag behind.
// A commit without a response is sent again unchanged: its conditions let at
// most one copy take effect. The history row, which is never overwritten, shows
// by its write_id which change took effect.
class CatalogueChange {
 public:
  // `write_id` must be unique. A commit is not retried after `deadline`;
  // without a response it is then reported as unconfirmed.
  CatalogueChange(CatalogueEdit edit, std::string write_id, TimePoint deadline);

  // Start and the On functions append the next effect to `effects`.
  void Start(ChangeEffects& effects);

  // Handles the requested row or the error of reading it. `wall_now` is the
  // time of the change that is stored in the record.
  void OnRead(const Result<TableRow>& row, std::chrono::milliseconds wall_now,
              TimePoint now, ChangeEffects& effects);

  void OnCommit(const CommitResponse& response, TimePoint now,
                ChangeEffects& effects);

  const CatalogueEdit& edit() const { return edit_; }

 private:
  bool IsBasedOn(const CatalogueRecord& present) const;
  void BuildTransaction(const CatalogueRecord& present,
                        std::chrono::milliseconds wall_now);
  void OnConflict(const CommitResponse& response, ChangeEffects& effects);
  void OnNoResponse(const CommitResponse& response, TimePoint now,
                    ChangeEffects& effects);
  void FinishAccepted(std::uint64_t version, ChangeEffects& effects) const;
  void FinishConflict(CatalogueRecord present, ChangeEffects& effects) const;
  static void FinishError(Error error, ChangeEffects& effects);

  CatalogueEdit edit_;
  std::string write_id_;
  TimePoint deadline_;
  TableTransaction transaction_;
  bool unconfirmed_ = false;  // true if a sent commit may have taken effect
};

}  // namespace chivewing
