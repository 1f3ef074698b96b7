#ifndef LIBRARIES_BASE_LOG_EVENT_H_
#define LIBRARIES_BASE_LOG_EVENT_H_

#include <array>
#include <string_view>

namespace agaterun {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Numbered log events. docs/EVENTS.md has one line for each; a test compares
// the two. 1xx process, 2xx nodes, 3xx callers, 4xx backend server,
// 5xx platform and tickets, 6xx decisions, 7xx operators.
enum class LogEvent : int {
  kStarted = 100,
  kStopping = 101,
  kStopped = 102,
  kSettingsRefused = 103,
  kListenFailed = 104,
  kPeerConnected = 200,
  kPeerLost = 201,
  kFrameRejected = 202,
  kPeerRefused = 203,
  kRequestRejected = 300,
  kCallerLimitReached = 301,
  kCallRefused = 310,
  kCallFailed = 311,
  kCallAnswered = 312,
  kKeyRejected = 320,
  kQuotaExceeded = 321,
  kBackendUp = 400,
  kBackendDown = 401,
  kBackendAnswerCut = 402,
  kVisitRefused = 410,
  kVisitBroken = 411,
  kBackendListed = 412,
  kBackendUnlisted = 413,
  kOtherInstance = 414,
  kBackendNotice = 415,
  kBackendNoticeInvalid = 416,
  kTicketInForce = 500,
  kTicketRefused = 501,
  kTicketConflict = 502,
  kPlatformUnreachable = 503,
  kPlatformReached = 504,
  kWaitingForState = 505,
  kHostLeaving = 506,
  kConfigurationInForce = 510,
  kConfigurationRefused = 511,
  kSettingsReloaded = 512,
  kReadingModeChanged = 513,
  kPlatformRestored = 514,
  kEntryRefused = 515,
  kLimitChanged = 600,
  kSheddingStarted = 601,
  kSheddingEnded = 602,
  kSuspectRecorded = 603,
  kFingerprintQuarantined = 604,
  kLoad = 610,
  kRetries = 611,
  kOperatorRequestRefused = 700,
};

struct LogEventRow {
  LogEvent event;
  LogLevel level;
  std::string_view name;
};

inline constexpr std::array kLogEvents = {
    LogEventRow{LogEvent::kStarted, LogLevel::kInfo, "started"},
    LogEventRow{LogEvent::kStopping, LogLevel::kInfo, "stopping"},
    LogEventRow{LogEvent::kStopped, LogLevel::kInfo, "stopped"},
    LogEventRow{LogEvent::kSettingsRefused, LogLevel::kError,
                "settings-refused"},
    LogEventRow{LogEvent::kListenFailed, LogLevel::kError, "listen-failed"},
    LogEventRow{LogEvent::kPeerConnected, LogLevel::kInfo, "peer-connected"},
    LogEventRow{LogEvent::kPeerLost, LogLevel::kWarning, "peer-lost"},
    LogEventRow{LogEvent::kFrameRejected, LogLevel::kWarning, "frame-rejected"},
    LogEventRow{LogEvent::kPeerRefused, LogLevel::kWarning, "peer-refused"},
    LogEventRow{LogEvent::kRequestRejected, LogLevel::kInfo,
                "request-rejected"},
    LogEventRow{LogEvent::kCallerLimitReached, LogLevel::kWarning,
                "caller-limit-reached"},
    LogEventRow{LogEvent::kCallRefused, LogLevel::kInfo, "call-refused"},
    LogEventRow{LogEvent::kCallFailed, LogLevel::kWarning, "call-failed"},
    LogEventRow{LogEvent::kCallAnswered, LogLevel::kDebug, "call-answered"},
    LogEventRow{LogEvent::kKeyRejected, LogLevel::kInfo, "key-rejected"},
    LogEventRow{LogEvent::kQuotaExceeded, LogLevel::kInfo, "quota-exceeded"},
    LogEventRow{LogEvent::kBackendUp, LogLevel::kInfo, "backend-up"},
    LogEventRow{LogEvent::kBackendDown, LogLevel::kWarning, "backend-down"},
    LogEventRow{LogEvent::kBackendAnswerCut, LogLevel::kWarning,
                "backend-answer-cut"},
    LogEventRow{LogEvent::kVisitRefused, LogLevel::kInfo, "visit-refused"},
    LogEventRow{LogEvent::kVisitBroken, LogLevel::kWarning, "visit-broken"},
    LogEventRow{LogEvent::kBackendListed, LogLevel::kInfo, "backend-listed"},
    LogEventRow{LogEvent::kBackendUnlisted, LogLevel::kWarning,
                "backend-unlisted"},
    LogEventRow{LogEvent::kOtherInstance, LogLevel::kWarning, "other-instance"},
    LogEventRow{LogEvent::kBackendNotice, LogLevel::kInfo, "backend-notice"},
    LogEventRow{LogEvent::kBackendNoticeInvalid, LogLevel::kWarning,
                "backend-notice-invalid"},
    LogEventRow{LogEvent::kTicketInForce, LogLevel::kInfo, "ticket-in-force"},
    LogEventRow{LogEvent::kTicketRefused, LogLevel::kError, "ticket-refused"},
    LogEventRow{LogEvent::kTicketConflict, LogLevel::kError, "ticket-conflict"},
    LogEventRow{LogEvent::kPlatformUnreachable, LogLevel::kWarning,
                "platform-unreachable"},
    LogEventRow{LogEvent::kPlatformReached, LogLevel::kInfo,
                "platform-reached"},
    LogEventRow{LogEvent::kWaitingForState, LogLevel::kWarning,
                "waiting-for-state"},
    LogEventRow{LogEvent::kHostLeaving, LogLevel::kInfo, "host-leaving"},
    LogEventRow{LogEvent::kConfigurationInForce, LogLevel::kInfo,
                "configuration-in-force"},
    LogEventRow{LogEvent::kConfigurationRefused, LogLevel::kError,
                "configuration-refused"},
    LogEventRow{LogEvent::kSettingsReloaded, LogLevel::kInfo,
                "settings-reloaded"},
    LogEventRow{LogEvent::kReadingModeChanged, LogLevel::kInfo,
                "reading-mode-changed"},
    LogEventRow{LogEvent::kPlatformRestored, LogLevel::kWarning,
                "platform-restored"},
    LogEventRow{LogEvent::kEntryRefused, LogLevel::kWarning, "entry-refused"},
    LogEventRow{LogEvent::kLimitChanged, LogLevel::kDebug, "limit-changed"},
    LogEventRow{LogEvent::kSheddingStarted, LogLevel::kWarning,
                "shedding-started"},
    LogEventRow{LogEvent::kSheddingEnded, LogLevel::kInfo, "shedding-ended"},
    LogEventRow{LogEvent::kSuspectRecorded, LogLevel::kWarning,
                "suspect-recorded"},
    LogEventRow{LogEvent::kFingerprintQuarantined, LogLevel::kError,
                "fingerprint-convicted"},
    LogEventRow{LogEvent::kLoad, LogLevel::kInfo, "load"},
    LogEventRow{LogEvent::kRetries, LogLevel::kInfo, "retries"},
    LogEventRow{LogEvent::kOperatorRequestRefused, LogLevel::kInfo,
                "operator-request-refused"},
};

// Row of `event` in kLogEvents.
const LogEventRow& RowOf(LogEvent event);

}  // namespace agaterun

#endif  // LIBRARIES_BASE_LOG_EVENT_H_
