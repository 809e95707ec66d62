#pragma once

/// Everything that touches a socket: HTTP, messages between processes, the platform's
/// store, the operator endpoint and the stop sequence of a program.
#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "lifecycle/ShutdownSequence.h"
#include "messages/MessagePort.h"
#include "operators/OperatorEndpoint.h"
#include "store/ChangeFeed.h"
#include "store/EtcdStore.h"
#include "store/PlatformStore.h"
#include "store/StoreMirror.h"
