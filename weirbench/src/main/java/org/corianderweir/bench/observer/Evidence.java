package org.corianderweir.bench.observer;

import java.util.List;
import java.util.stream.Stream;
import org.corianderweir.bench.backend.JournalEntry;
import org.corianderweir.bench.deployment.Deployment;
import org.corianderweir.bench.load.CallRecord;
import org.corianderweir.bench.network.TrafficMeter;
import org.corianderweir.model.configuration.BackendServer;

/**
 * All that was seen of a run from outside the daemons.
 *
 * @param deployment what ran
 * @param servers backend servers
 * @param calls attempts of the callers
 * @param journal requests that reached backend servers
 * @param revisions samples of the configuration in force
 * @param traffic bytes between zones
 * @param incidents what operators and faults did
 */
public record Evidence(
    Deployment deployment,
    List<BackendServer> servers,
    List<CallRecord> calls,
    List<JournalEntry> journal,
    List<RevisionSample> revisions,
    List<TrafficMeter.Sample> traffic,
    List<Incident> incidents) {
  /** Copies the lists. */
  public Evidence {
    servers = List.copyOf(servers);
    calls = List.copyOf(calls);
    journal = List.copyOf(journal);
    revisions = List.copyOf(revisions);
    traffic = List.copyOf(traffic);
    incidents = List.copyOf(incidents);
  }

  /** Returns the requests that ran, at least in part. */
  public List<JournalEntry> runs() {
    return journal.stream().filter(JournalEntry::ran).toList();
  }

  /** Returns the incidents of a kind. */
  public <T extends Incident> Stream<T> incidents(Class<T> kind) {
    return incidents.stream().filter(kind::isInstance).map(kind::cast);
  }
}
