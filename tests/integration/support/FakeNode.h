#pragma once

#include <memory>
#include <string>

#include "network/Endpoint.h"
#include "observation/WorldView.h"

namespace toucanstand {

/// Stands in for the toucanstand-node process of one VM, so that a test of the entry
/// decides itself what the entry knows. Runs a loop on a thread of its own.
class FakeNode
{
public:
  /// @param aConfiguration text of the configuration that subscribers get
  explicit FakeNode(std::string aConfiguration);
  ~FakeNode();
  FakeNode(const FakeNode&) = delete;
  FakeNode& operator=(const FakeNode&) = delete;

  [[nodiscard]] Endpoint Address() const;

  /// Replaces the view that is sent to subscribers every 50 ms. Each candidate's
  /// permission is renewed with each sending, as long as it is in the view.
  void SetView(WorldView aView);

private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

} // namespace toucanstand
