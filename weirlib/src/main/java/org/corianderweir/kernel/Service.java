package org.corianderweir.kernel;

import java.util.List;

/** A part of a process with a life cycle of its own. */
public interface Service {
  /** Returns the services that must be started before this one. */
  List<ServiceName<?>> dependencies();

  /** Starts the service; it finds the ones it depends on by name. */
  void start(ServiceDirectory directory);

  /** Stops the service; those that depend on it have stopped already. */
  void stop();
}
