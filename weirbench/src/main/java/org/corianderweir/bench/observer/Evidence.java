package org.corianderweir.bench.observer;

import java.util.List;
import java.util.stream.Stream;
import org.corianderweir.bench.backend.JournalEntry;
import org.corianderweir.bench.deployment.Deployment;
import org.corianderweir.bench.load.CallRecord;
import org.corianderweir.bench.network.TrafficMeter;
import org.corianderweir.model.configuration.BackendServer;

/**
 * Everything that was recorded about a run outside the daemons under test.
 *
 * @param deployment deployment that was run
 * @param servers backend servers of the deployment
 * @param calls attempts of the callers to send a request, with their results
 * @param journal requests that reached backend servers
 * @param revisions samples of the configuration revision in force on each entry instance
 * @param traffic bytes sent between availability zones
 * @param incidents changes by operators and injected faults
 */
public record Evidence(
    Deployment deployment,
    List<BackendServer> servers,
    List<CallRecord> calls,
    List<JournalEntry> journal,
    List<RevisionSample> revisions,
    List<TrafficMeter.Sample> traffic,
    List<Incident> incidents) {
  /** Makes immutable copies of the lists. */
  public Evidence {
    servers = List.copyOf(servers);
    calls = List.copyOf(calls);
    journal = List.copyOf(journal);
    revisions = List.copyOf(revisions);
    traffic = List.copyOf(traffic);
    incidents = List.copyOf(incidents);
  }

  /** Returns the journal entries of requests that ran completely or in part. */
  public List<JournalEntry> runs() {
    return journal.stream().filter(JournalEntry::ran).toList();
  }

  /** Returns the incidents of the given type. */
  public <T extends Incident> Stream<T> incidents(Class<T> type) {
    return incidents.stream().filter(type::isInstance).map(type::cast);
  }
}
