package org.corianderweir.kernel;

import java.util.List;

/** A component of a process that is started and stopped by the {@link Kernel}. */
public interface Service {
  /** Returns the names of the services that must be started before this one. */
  List<ServiceName<?>> dependencies();

  /** Starts the service. The services that it depends on have started and are in the directory. */
  void start(ServiceDirectory directory);

  /** Stops the service. The services that depend on it have already stopped. */
  void stop();
}
