#include "joins/IdenticalRequests.h"

#include <nlohmann/json.hpp>

namespace toucanstand {

JoinDecision IdenticalRequests::OnArrival(const RequestId& aRequest,
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
  if (Run* run = this->FindOpen(key); run != nullptr) {
    const RequestId name = this->open.at(key);
    run->callers.insert(aRequest);
    this->runOfCaller.emplace(aRequest, name);
    ++this->joined;
    return { name, run->events };
  }
  if (this->runs.size() >= kMaximumRuns) {
    return {};
  }
  this->runs.emplace(aRequest, Run{ key, { aRequest }, {}, 0 });
  this->runOfCaller.emplace(aRequest, aRequest);
  this->open.insert_or_assign(key, aRequest);
  return {};
}

void IdenticalRequests::OnEvent(const RequestId& aRun, const std::string& aEvent)
{
  const auto found = this->runs.find(aRun);
  if (found == this->runs.end()) {
    return;
  }
  Run& run = found->second;
  const auto current = this->open.find(run.key);
  if (current == this->open.end() || current->second != aRun) {
    return;
  }
  if (run.bytes + aEvent.size() > kMaximumRunBytes ||
      this->totalBytes + aEvent.size() > kMaximumTotalBytes) {
    this->Close(aRun, run);
    return;
  }
  run.events.push_back(aEvent);
  run.bytes += aEvent.size();
  this->totalBytes += aEvent.size();
}

std::vector<RequestId> IdenticalRequests::CallersOf(const RequestId& aRun) const
{
  const auto found = this->runs.find(aRun);
  if (found == this->runs.end()) {
    return {};
  }
  return { found->second.callers.begin(), found->second.callers.end() };
}

bool IdenticalRequests::OnCallerLeft(const RequestId& aRequest)
{
  const auto found = this->runOfCaller.find(aRequest);
  if (found == this->runOfCaller.end()) {
    // It runs by itself and has no other callers.
    return true;
  }
  const RequestId name = found->second;
  Run& run = this->runs.at(name);
  run.callers.erase(aRequest);
  this->runOfCaller.erase(found);
  if (!run.callers.empty()) {
    return false;
  }
  this->Erase(name);
  return true;
}

std::vector<RequestId> IdenticalRequests::OnRunEnded(const RequestId& aRun)
{
  const auto callers = this->CallersOf(aRun);
  for (const auto& caller : callers) {
    this->runOfCaller.erase(caller);
  }
  this->Erase(aRun);
  return callers;
}

nlohmann::json IdenticalRequests::Describe() const
{
  return { { "runs", this->runs.size() },
           { "callers", this->runOfCaller.size() },
           { "joined", this->joined },
           { "held_bytes", this->totalBytes } };
}

IdenticalRequests::Run* IdenticalRequests::FindOpen(const Key& aKey)
{
  const auto found = this->open.find(aKey);
  if (found == this->open.end()) {
    return nullptr;
  }
  Run& run = this->runs.at(found->second);
  return run.callers.size() < kMaximumCallersPerRun ? &run : nullptr;
}

void IdenticalRequests::Close(const RequestId& aRun, Run& aEntry)
{
  const auto current = this->open.find(aEntry.key);
  if (current != this->open.end() && current->second == aRun) {
    this->open.erase(current);
  }
  this->totalBytes -= aEntry.bytes;
  aEntry.bytes = 0;
  aEntry.events.clear();
}

void IdenticalRequests::Erase(const RequestId& aRun)
{
  const auto found = this->runs.find(aRun);
  if (found == this->runs.end()) {
    return;
  }
  this->Close(aRun, found->second);
  this->runs.erase(found);
}

} // namespace toucanstand
