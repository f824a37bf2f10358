package org.corianderweir.bench.scenario;

import java.util.ArrayList;
import java.util.List;
import org.corianderweir.bench.observer.Incident;

/** Collects the incidents of a run. Thread-safe. */
final class IncidentLog {
  private final List<Incident> incidents = new ArrayList<>();

  synchronized void add(Incident incident) {
    incidents.add(incident);
  }

  synchronized List<Incident> incidents() {
    return List.copyOf(incidents);
  }
}
