#include "NodeConfiguration.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include "document/EffectiveConfiguration.h"
#include "members/MemberTable.h"

namespace toucanstand {

namespace {

std::vector<VmId> IdsOf(const std::vector<Vm>& aVms)
{
  std::vector<VmId> ids;
  std::ranges::transform(aVms, std::back_inserter(ids), &Vm::id);
  return ids;
}

} // namespace

NodeConfiguration::NodeConfiguration(Vm aSelf,
                                     const std::vector<Vm>& aSeeds,
                                     TimePoint aNow)
  : self(std::move(aSelf))
  , settingsList(IdsOf(aSeeds))
  , isolation(this->self.id, aNow)
{
  if (std::ranges::find(this->settingsList, this->self.id) == this->settingsList.end()) {
    this->settingsList.push_back(this->self.id);
  }
  this->SetQuorum({});
  this->replica.AddListener([this](const ConfigurationDocument& aDocument) {
    const EffectiveConfiguration effective(aDocument, this->self.id, this->self.zone);
    this->isolation.SetPolicy(effective.IsolatedServingPolicy());
    this->isolation.SetRevision(aDocument.revision);
    this->acceptance.TrackRevision(aDocument.revision);
    spdlog::info("configuration revision {} by {} is in force",
                 aDocument.revision,
                 aDocument.author);
  });
}

OfferOutcome NodeConfiguration::Offer(std::string_view aText, TimePoint aNow)
{
  return this->replica.Offer(aText, aNow);
}

void NodeConfiguration::StoreAnswered(TimePoint aAskedAt,
                                      const std::optional<std::string>& aText,
                                      TimePoint aNow)
{
  if (!aText) {
    this->isolation.OnStoreAnswer(aAskedAt, 0);
    return;
  }
  // An invalid value names no revision, so reading it proves nothing about the own one.
  const auto document = ParseConfiguration(*aText);
  if (this->Offer(*aText, aNow) != OfferOutcome::Invalid) {
    this->isolation.OnStoreAnswer(aAskedAt, document->revision);
  }
}

void NodeConfiguration::OnPeer(const PeerMessageReceived& aPeer, TimePoint aNow)
{
  if (this->peers.size() < kMaximumMembers || this->peers.contains(aPeer.peer.id)) {
    this->peers[aPeer.peer.id] = { aPeer.revision, aNow };
  }
  if (aPeer.probeSentAt) {
    this->isolation.OnPeerAnswer(
      aPeer.peer.id, *aPeer.probeSentAt, aPeer.revision, aPeer.synchronized);
    this->acceptance.AddConfirmation(aPeer.peer.id, *aPeer.probeSentAt, aPeer.revision);
  }
}

void NodeConfiguration::SetPlatform(const PlatformList& aList)
{
  this->SetQuorum(IdsOf(aList.entryVms));
}

void NodeConfiguration::Update(TimePoint aNow)
{
  this->acceptance.AddConfirmation(this->self.id, aNow, this->replica.Revision());
  const auto before = this->acceptance.State();
  if (this->acceptance.Update(aNow) != before) {
    spdlog::info("configuration revision {} is accepted", this->acceptance.Revision());
  }
}

nlohmann::json NodeConfiguration::Describe(TimePoint aNow) const
{
  nlohmann::json revisions = nlohmann::json::object();
  revisions[this->self.id.Value()] = { { "revision", this->replica.Revision() },
                                       { "age_ms", 0 } };
  for (const auto& [vm, peer] : this->peers) {
    revisions[vm.Value()] = { { "revision", peer.revision },
                              { "age_ms", ToMilliseconds(aNow - peer.heardAt).count() } };
  }
  return { { "in_force", this->replica.Describe(aNow) },
           { "acceptance", this->acceptance.Describe(aNow) },
           { "isolation", this->isolation.Describe(aNow) },
           { "revisions", std::move(revisions) } };
}

void NodeConfiguration::SetQuorum(const std::vector<VmId>& aPlatform)
{
  const EntryQuorum quorum(this->settingsList, aPlatform);
  this->isolation.SetQuorum(quorum);
  this->acceptance.SetQuorum(quorum);
}

} // namespace toucanstand
