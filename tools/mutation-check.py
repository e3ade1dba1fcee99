"""Mutation testing: checks that tests fail when the code they cover is broken.

Applies one mutant at a time in a scratch git work tree, builds the test that
covers it, and expects that test to fail. Prints one line per mutant. The exit
code is 1 if a test passes, a mutant does not build, or its source text no
longer exists.

    tools/mutation-check.py                 runs every mutant
    tools/mutation-check.py decision/flow   runs the mutants of the files whose
                                            path in filberthollow/ starts so
"""

import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
WORK_TREE = ROOT / "build/mutants"
ENVIRONMENT = {**os.environ, "RC_PARAMS": "seed=7 max_success=100"}

# Each mutant: (file in filberthollow/, source text, its replacement, test that
# must fail). Only the first occurrence of the text is replaced.
MUTANTS = [
    ("decision/flows/evacuation_filter.cc",
     "m_evacuations.ContainsHash(candidate.data_centre)", "false",
     "decision_flows_evacuation_test"),
    ("decision/membership/evacuations.cc",
     "list.revision <= m_list.revision", "false",
     "decision_membership_evacuations_test"),
    ("decision/flows/request_ledger.cc", "return {Lookup::kKnown, &entry->second};",
     "return {};", "caller_flow_client_test"),
    ("decision/flows/target_flows.cc",
     ".ledger.SetRefused(request_id.seq, reason, run_state);", ";",
     "caller_flow_client_test"),
    ("decision/flows/target_flows.cc", "m_admission.Finish(now - ended.started);", "",
     "caller_flow_client_test"),
    ("caller/download.cc", "m_lost.push_back(requested->first);", "",
     "caller_flow_client_test"),
    ("flow/token.cc",
     "return key != m_keys.end() && MacsEqual(SipHashMac(key->second, bytes), "
     "mac);", "return key != m_keys.end();", "flow_token_test"),
    ("flow/token.cc", "if (key.active_from <= wall_now) {", "if (true) {",
     "flow_token_test"),
    ("decision/load/admission.cc", "last = std::max(last, m_served_tag) + 1;",
     "last = 1;", "decision_load_admission_test"),
    ("decision/flows/view_builder.cc", "return dead * 100 >", "return 0 * dead >",
     "decision_flows_view_builder_test"),
    ("config/config.cc", "bool newer = order == ContentOrder::kNewer;",
     "bool newer = true;", "config_config_test"),
    ("config/config.cc",
     "object.version = platform::AuthorVersionOf(read->version);", "",
     "config_config_test"),
    ("config/content_order.cc",
     "return is_in_held ? ContentOrder::kOlder : ContentOrder::kNewer;",
     "return ContentOrder::kNewer;", "config_content_order_test"),
    ("config/write_back.cc", "if (!m_host.still_lost(lost)) {", "if (false) {",
     "config_write_back_test"),
    ("config/store_watch.cc", "[this] { Call(base::Millis(0)); });",
     "[this] { Call(base::Millis(1)); });", "config_fleet_config_task_test"),
    ("decision/membership/balancer_set.cc", "!IsNewcomer(entry, now);", "true;",
     "decision_membership_balancer_set_test"),
    ("decision/load/admission.cc", "{&m_first_attempts, &m_retries}",
     "{&m_retries, &m_first_attempts}", "decision_load_admission_test"),
    ("decision/load/admission.cc", "if (queued.deadline <= now || too_late) {",
     "if (queued.deadline <= now) {", "decision_load_admission_test"),
    ("decision/flows/upstream_gate_offers.cc",
     "return forward.service == m_options.service", "return true",
     "decision_flows_upstream_gate_offers_test"),
    ("decision/flows/upstream_gate_offers.cc", "return source.has_report ?",
     "return true ?", "decision_flows_upstream_gate_offers_test"),
    ("decision/flows/flow_router.cc",
     "offer.agent, NewOffer(offer.packet, route->ServiceFor(ends))",
     "offer.agent, NewOffer(offer.packet, {})", "decision_flows_flow_router_test"),
    ("decision/flows/flow_router_agents.cc",
     "return agent.reported && now - agent.reported_at <= ReportPatience(agent);",
     "return agent.reported;", "decision_flows_flow_router_identity_test"),
    ("decision/flows/flow_router_agents.cc",
     "now - agent.report_asked_at >= kReportRetryDelay", "true",
     "decision_flows_flow_router_identity_test"),
    ("decision/flows/flow_router.cc",
     "offer == m_offers.end() && answer.reason == Reason::kWrongService",
     "false", "decision_flows_flow_router_identity_test"),
    ("decision/flows/flow_router.cc",
     "offer == m_offers.end() && answer.reason == Reason::kWrongService",
     "offer == m_offers.end()", "decision_flows_flow_router_identity_test"),
    ("decision/flows/flow_router.cc",
     "agent.reported_at = std::min(agent.reported_at + gap, now);", "",
     "decision_flows_flow_router_identity_test"),
    ("decision/membership/first_reports.cc", "m_confirmed.erase(balancer);", "",
     "decision_membership_first_reports_test"),
    ("decision/membership/first_reports.cc",
     "m_confirmed.find(balancer); sent != m_confirmed.end()",
     "m_confirmed.try_emplace(balancer).first; true",
     "decision_membership_first_reports_test"),
    ("decision/load/admission.cc", "bool too_late = !free_slot &&",
     "bool too_late =", "decision_load_admission_test"),
    ("decision/load/retry_budget.cc", "if (m_sum.retries >= allowed) {",
     "if (m_sum.retries >= allowed * 2) {", "decision_load_admission_test"),
    ("decision/flows/placement.cc",
     "return second_load < first_load ? top.second : top.first;",
     "return top.first;", "decision_flows_placement_test"),
    ("decision/flows/placement.cc", "candidate.incarnation == avoid", "false",
     "decision_flows_placement_test"),
    ("decision/membership/observer.h", "kConfirmations = 2", "kConfirmations = 1",
     "decision_membership_gossip_test"),
    ("decision/membership/observer.cc", "bool was_paused = now - m_last_tick > "
     "kMaxTickGap;", "bool was_paused = false;", "decision_membership_gossip_test"),
    ("decision/membership/directory.cc", "if (!Supersedes(record, held->second)) {",
     "if (false) {", "decision_membership_gossip_test"),
    ("decision/membership/gossip.cc",
     "message.group_digests = m_directory.group_digests();", "",
     "decision_membership_gossip_test"),
    ("operator/tree_editor.cc", "if (now != before && now != edit.value) {",
     "if (false) {", "operator_tree_editor_test"),
    ("operator/tree_editor.cc",
     "answer_lost = answer_lost || written->kind == WriteAnswer::kUnknown;",
     "", "operator_tree_editor_test"),
    ("wire/codec.cc", "if (datagram.size() > kMaxDatagramBytes) {",
     "if (false) {", "wire_codec_test"),
    ("wire/sealed.cc", "if (seal[0] != epoch || ", "if (false && ",
     "wire_codec_test"),
    ("config/key_activation.cc", "std::max(next - m_wall(), "
     "base::Millis(0))", "base::Millis(3'600'000)",
     "config_key_activation_test"),
    ("flow/token.cc", "if (epoch > m_signing_epoch) {", "if (false) {",
     "config_key_activation_test"),
    ("decision/flows/flow_router_agents.cc", "&& !found->second.report.leaving", "",
     "decision_flows_flow_router_test"),
    ("decision/flows/flow_router_searches.cc",
     "asked.holding == Holding::kNotHeld ||", "asked.holding.has_value() ||",
     "decision_flows_flow_router_test"),
    ("decision/flows/flow_router_agents.cc",
     "m_isolated = heard * kIsolationDivisor < known;", "m_isolated = false;",
     "decision_flows_flow_router_discovery_test"),
    ("decision/flows/flow_router.cc", "CheckPause(now, actions);", "",
     "decision_flows_flow_router_test"),
    ("decision/flows/flow_router.cc",
     "m_started = std::min(m_started + gap, now);", "",
     "decision_flows_flow_router_discovery_test"),
    ("decision/flows/flow_router_agents.cc", "if (heard_at >= agent.heard_at) {",
     "if (false) {", "decision_flows_flow_router_discovery_test"),
    ("decision/flows/upstream_life.cc",
     "now - m_last_flow_packet > m_absent_after",
     "HeardAgo(now) > m_absent_after", "decision_flows_upstream_gate_test"),
    ("decision/flows/upstream_life.cc",
     "now - m_last_flow_packet >= kShutdownGrace", "true",
     "decision_flows_upstream_gate_life_test"),
    ("decision/flows/upstream_life.cc", "if (accepted_at <= m_run_alive) {",
     "if (false) {", "decision_flows_upstream_gate_life_test"),
    ("decision/flows/upstream_life.cc", "if (!NamesUpstream(beat)) {",
     "if (false) {", "decision_flows_upstream_gate_test"),
    ("decision/flows/upstream_runs.cc", "!HasEnded(run)", "true",
     "decision_flows_upstream_runs_test"),
    ("decision/flows/upstream_runs.cc",
     "(now - m_contender->first_heard) * 2 < m_interval", "false",
     "decision_flows_upstream_runs_test"),
    ("decision/flows/upstream_runs.cc",
     "now - m_last_heard < m_interval * kMissedHeartbeats", "false",
     "decision_flows_upstream_runs_test"),
    ("decision/flows/upstream_runs.cc", "id != m_current.id || other_start",
     "id != m_current.id", "decision_flows_upstream_runs_test"),
    ("platform/announcement.cc", "if (!((*found).*is_type)()) {",
     "if (false) {", "platform_platform_test"),
    ("net/http_server.cc", "if (!length.empty() && length != \"0\") {",
     "if (false) {", "net_http_test"),
    ("decision/flows/upstream_gate_offers.cc",
     "m_liveness.state() != UpstreamState::kReady || m_leaving",
     "m_liveness.state() != UpstreamState::kReady",
     "decision_flows_upstream_gate_test"),
    ("decision/flows/upstream_gate.cc", "if (header.resets && was_open) {",
     "if (false) {", "decision_flows_upstream_gate_test"),
    ("decision/load/cold_limit.cc", "now - m_started <= kWindow", "false",
     "decision_flows_upstream_gate_cold_test"),
    ("decision/load/cold_limit.cc", "now - kWindow);", "now);",
     "decision_flows_upstream_gate_cold_test"),
    ("decision/flows/upstream_gate_life.cc", "if (!evacuated) {", "if (false) {",
     "decision_flows_upstream_gate_cold_test"),
    ("decision/flows/upstream_gate_life.cc",
     "outcome == HeartbeatOutcome::kEarlierRun", "false",
     "decision_flows_upstream_gate_cold_test"),
    ("decision/load/opening_room.cc", "candidate.load_age > ColdLimiter::kWindow",
     "false", "decision_flows_flow_router_cold_test"),
    ("decision/load/request_queue.h", "m_max_in_flight && m_size == 0;",
     "m_max_in_flight;",
     "decision_load_request_queue_test"),
    ("decision/membership/balancer_set.cc", "candidates.resize(kMaxAdvertised);", "",
     "decision_membership_balancer_set_test"),
    ("decision/membership/balancer_set.cc", "entry.silent = silent;", "",
     "decision_membership_balancer_set_test"),
    ("settings/process_file.cc", "text.append(part.data(), "
     "static_cast<size_t>(in.gcount()));", "text.append(part.data(), "
     "part.size());", "settings_process_file_test"),
    ("decision/flows/flow_guesses.cc", "found->second.bounced_back = true;", "",
     "decision_flows_upstream_gate_test"),
    ("decision/flows/locate_queue.cc", "CreditAt(now) <= 0", "false",
     "decision_flows_locate_queue_test"),
    ("decision/flows/flow_router.cc", "if (offer.any_unanswered) {", "if (false) {",
     "decision_flows_flow_router_test"),
    ("decision/flows/flow_router_searches.cc", "return KnowsAllAgents(now);",
     "return true;", "decision_flows_flow_router_discovery_test"),
    ("decision/flows/upstream_gate.cc", "bool done = header.finishes ||",
     "bool done =", "decision_flows_upstream_gate_requests_test"),
    ("decision/load/upstream_choice.h",
     "static constexpr size_t kLocalSamples = 2;",
     "static constexpr size_t kLocalSamples = 100000;", "lab_lab_test"),
    ("decision/load/queue_order.cc",
     "(now - oldest.queued_at) * kGoalDivisor > oldest.latency_goal",
     "oldest.queued_at > now", "lab_lab_test"),
    ("decision/flows/flow_router_agents.cc", "now - agent.asked_at > kMinSilence ||",
     "", "decision_flows_flow_router_test"),
    ("config/store_retry.cc", "has_configuration ? m_delay : kUnconfiguredDelay",
     "m_delay", "config_store_retry_test"),
    ("decision/flows/flow_guesses.cc", "  --m_pending;\n  return std::exchange",
     "  return std::exchange", "decision_flows_flow_guesses_test"),
    ("passthrough/peer_config.cc", "if (length > kMaxConfigBytes) {",
     "if (false) {", "passthrough_peer_config_test"),
    ("decision/flows/upstream_gate.cc", "flow.stage = Stage::kClosed;\n    --m_open_flows;",
     "flow.stage = Stage::kClosed;", "decision_flows_open_flow_count_test"),
    ("config/store_watch.cc", "[this, due] { OnOverdue(due); }", "[] {}",
     "config_store_watch_test"),
    ("decision/membership/watch_schedule.cc",
     "std::min(m_turn_interval * watchers, kMaxWait)", "kMaxWait",
     "decision_membership_watch_schedule_test"),
    ("decision/membership/watch_schedule.cc",
     "std::min(m_turn_interval * watchers, kMaxWait)", "m_turn_interval",
     "decision_membership_watch_schedule_test"),
    ("decision/membership/balancer_set.cc",
     "entry.takes_turns && !entry.leaving", "!entry.leaving",
     "decision_membership_balancer_set_test"),
    ("decision/flows/flow_router_agents.cc",
     "if (report.confirmation == ReportConfirmation::kUnsupported) {",
     "if (true) {", "decision_flows_flow_router_discovery_test"),
    ("decision/membership/first_reports.cc",
     "state.repeats == kMaxRepeats", "false",
     "decision_membership_first_reports_test"),
    ("decision/membership/balancer_set.cc",
     "base::HashWords({m_self.ip, m_self.port, peer.ip, peer.port})",
     "uint64_t{0}", "decision_membership_balancer_set_test"),
    ("decision/load/upstream_choice.cc",
     "local.empty() ? kLocalSamples : kRemoteSamples", "candidates.size()",
     "decision_load_upstream_choice_test"),
    ("decision/flows/flow_router_searches.cc",
     "likely_rounds < kLikelyRounds.size()", "likely_rounds < 0",
     "decision_flows_likely_agents_test"),
]


def run(arguments, folder):
    return subprocess.run(arguments, cwd=folder, capture_output=True,
                          text=True, env=ENVIRONMENT, timeout=300)


# Runs one mutant. The result starts with "fails" if the test detects it.
def check_mutant(mutant):
    file, text, replacement, test = mutant
    path = WORK_TREE / "filberthollow" / file
    original = path.read_text()
    if text not in original:
        return "the text is gone; bring the list up to date"
    path.write_text(original.replace(text, replacement, 1))
    try:
        built = run(["ninja", "-C", "build/release", test], WORK_TREE)
        if built.returncode != 0:
            return "does not build: " + built.stdout[-300:]
        try:
            test_run = run([f"build/release/{test}"], WORK_TREE)
        except subprocess.TimeoutExpired:
            return "fails (timeout)"
        return "fails" if test_run.returncode != 0 else "PASSES ALL THE SAME"
    finally:
        path.write_text(original)


def main():
    run(["git", "worktree", "remove", "--force", str(WORK_TREE)], ROOT)
    run(["git", "worktree", "add", "--force", "--detach", str(WORK_TREE)], ROOT)
    run(["cmake", "--preset", "release"], WORK_TREE)
    failures = 0
    prefix = sys.argv[1] if len(sys.argv) > 1 else ""
    for mutant in [m for m in MUTANTS if m[0].startswith(prefix)]:
        result = check_mutant(mutant)
        failures += not result.startswith("fails")
        print(f"{mutant[0]}: {mutant[3]}: {result}", flush=True)
    run(["git", "worktree", "remove", "--force", str(WORK_TREE)], ROOT)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
