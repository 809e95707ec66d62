#pragma once

#include "BackendCall.h"

namespace toucanstand {

/// A call of a plain service. The answer is read whole before any of it is passed on, so
/// that a caller never gets a part of it.
class ServiceCall final : public BackendCall
{
public:
  using BackendCall::BackendCall;

protected:
  Task<AttemptResult> Attempt(const Candidate& aCandidate,
                              std::uint32_t aNumber) override;

private:
  [[nodiscard]] HttpRequest MakeRequest(std::uint32_t aNumber) const;
  AttemptResult Conclude(HttpResponse aResponse);
};

} // namespace toucanstand
