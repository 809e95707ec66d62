#include "joins/RequestCoalescer.h"

#include <nlohmann/json.hpp>

namespace toucanstand {

JoinDecision RequestCoalescer::OnArrival(const RequestId& aRequest,
                                         const AccountId& aAccount,
                                         std::uint64_t aFingerprint,
                                         Repeatability aRepeatability,
                                         AnswerForm aForm)
{
  if (aRepeatability != Repeatability::Idempotent ||
      this->runOfCaller.contains(aRequest)) {
    return {};
  }
  const Key key{ aAccount, aFingerprint, aForm };
  if (Run* run = this->FindJoinableRun(key); run != nullptr) {
    const RequestId runId = this->joinableRuns.at(key);
    run->callers.insert(aRequest);
    this->runOfCaller.emplace(aRequest, runId);
    ++this->joinedCount;
    return { runId, run->events };
  }
  if (this->runs.size() >= kMaximumRuns) {
    return {};
  }
  this->runs.emplace(aRequest, Run{ key, { aRequest }, {}, 0 });
  this->runOfCaller.emplace(aRequest, aRequest);
  this->joinableRuns.insert_or_assign(key, aRequest);
  return {};
}

void RequestCoalescer::OnEvent(const RequestId& aRun, const std::string& aEvent)
{
  const auto found = this->runs.find(aRun);
  if (found == this->runs.end()) {
    return;
  }
  Run& run = found->second;
  const auto current = this->joinableRuns.find(run.key);
  if (current == this->joinableRuns.end() || current->second != aRun) {
    return;
  }
  if (run.heldBytes + aEvent.size() > kMaxHeldBytesPerRun ||
      this->totalHeldBytes + aEvent.size() > kMaxHeldBytes) {
    this->StopJoining(aRun, run);
    return;
  }
  run.events.push_back(aEvent);
  run.heldBytes += aEvent.size();
  this->totalHeldBytes += aEvent.size();
}

std::vector<RequestId> RequestCoalescer::CallersOf(const RequestId& aRun) const
{
  const auto found = this->runs.find(aRun);
  if (found == this->runs.end()) {
    return {};
  }
  return { found->second.callers.begin(), found->second.callers.end() };
}

bool RequestCoalescer::OnCallerLeft(const RequestId& aRequest)
{
  const auto found = this->runOfCaller.find(aRequest);
  if (found == this->runOfCaller.end()) {
    // The request isn't part of a shared run, so it has no other callers.
    return true;
  }
  const RequestId runId = found->second;
  Run& run = this->runs.at(runId);
  run.callers.erase(aRequest);
  this->runOfCaller.erase(found);
  if (!run.callers.empty()) {
    return false;
  }
  this->Erase(runId);
  return true;
}

std::vector<RequestId> RequestCoalescer::OnRunEnded(const RequestId& aRun)
{
  const auto callers = this->CallersOf(aRun);
  for (const auto& caller : callers) {
    this->runOfCaller.erase(caller);
  }
  this->Erase(aRun);
  return callers;
}

nlohmann::json RequestCoalescer::Describe() const
{
  return { { "runs", this->runs.size() },
           { "callers", this->runOfCaller.size() },
           { "joined", this->joinedCount },
           { "held_bytes", this->totalHeldBytes } };
}

RequestCoalescer::Run* RequestCoalescer::FindJoinableRun(const Key& aKey)
{
  const auto found = this->joinableRuns.find(aKey);
  if (found == this->joinableRuns.end()) {
    return nullptr;
  }
  Run& run = this->runs.at(found->second);
  return run.callers.size() < kMaximumCallersPerRun ? &run : nullptr;
}

void RequestCoalescer::StopJoining(const RequestId& aRun, Run& aEntry)
{
  const auto current = this->joinableRuns.find(aEntry.key);
  if (current != this->joinableRuns.end() && current->second == aRun) {
    this->joinableRuns.erase(current);
  }
  this->totalHeldBytes -= aEntry.heldBytes;
  aEntry.heldBytes = 0;
  aEntry.events.clear();
}

void RequestCoalescer::Erase(const RequestId& aRun)
{
  const auto found = this->runs.find(aRun);
  if (found == this->runs.end()) {
    return;
  }
  this->StopJoining(aRun, found->second);
  this->runs.erase(found);
}

} // namespace toucanstand
