#pragma once

/// Admission control: decides whether a request runs now, waits in a queue, or is
/// refused.
#include "admission/AdmissionController.h"
#include "admission/AdmissionSettings.h"
#include "admission/Arrival.h"
#include "priority/PriorityAdmission.h"
