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

// Decides one change of the catalogue, from an operator's edit to its outcome.
//
// The present row is read from the table, so that a lagging copy cannot win. A
// commit without an answer is sent again as it was: its conditions let at most
// one copy take effect, and the history row, which nobody overwrites, tells
// whose change took effect.
class CatalogueChange {
 public:
  // `write_id` must be unique. After `give_up` a commit without an answer is
  // reported as in doubt.
  CatalogueChange(CatalogueEdit edit, std::string write_id, TimePoint deadline);

  // Each function appends what is to be done next to `effects`.
  void Start(ChangeEffects& effects);

  // The row asked for, or the error that stood in the way. `wall_now` is the
  // time of day that the record shows.
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
  bool unconfirmed_ = false;  // a copy of the commit may have taken effect
};

}  // namespace chivewing
