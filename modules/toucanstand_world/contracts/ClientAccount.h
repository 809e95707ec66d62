#pragma once

#include "identifiers/Identifiers.h"

namespace toucanstand {

/// A client account and what the operators grant it.
struct ClientAccount
{
  AccountId id;
  /// Weight in the fair sharing of capacity; 1 is an ordinary account.
  double share = 1.0;
  /// Factor on the worth of its requests.
  double worth = 1.0;
};

} // namespace toucanstand
