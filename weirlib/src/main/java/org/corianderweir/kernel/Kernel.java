package org.corianderweir.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.jspecify.annotations.Nullable;

/**
 * Starts services in the order of their dependencies and stops them in reverse order. Not
 * thread-safe.
 */
public final class Kernel implements ServiceDirectory {
  private final Map<String, Service> services = new LinkedHashMap<>();
  private final Deque<Service> started = new ArrayDeque<>();

  /** Registers a service under a name. */
  public <T> Kernel register(ServiceName<T> name, Service service) {
    services.put(name.name(), service);
    return this;
  }

  @Override
  public <T> T find(ServiceName<T> name) {
    Service service = services.get(name.name());
    if (!name.type().isInstance(service)) {
      throw new WeirException(
          ErrorCode.SERVICE_UNKNOWN, "no service is registered as " + name.name());
    }
    return name.type().cast(service);
  }

  /**
   * Starts all services.
   *
   * @throws WeirException with code {@code SERVICE_UNKNOWN} if a dependency is not registered, or
   *     with code {@code SERVICE_CYCLE} if services depend on each other in a cycle
   */
  public void start() {
    Set<String> visited = new HashSet<>();
    Set<String> visiting = new HashSet<>();
    for (String name : services.keySet()) {
      startWithDependencies(name, visited, visiting);
    }
  }

  /** Stops the started services, the one started last first. */
  public void stop() {
    @Nullable Service service = started.pollLast();
    while (service != null) {
      service.stop();
      service = started.pollLast();
    }
  }

  private void startWithDependencies(String name, Set<String> visited, Set<String> visiting) {
    if (visited.contains(name)) {
      return;
    }
    if (!visiting.add(name)) {
      throw new WeirException(
          ErrorCode.SERVICE_CYCLE, "service dependencies form a cycle at " + name);
    }
    Service service = services.get(name);
    if (service == null) {
      throw new WeirException(ErrorCode.SERVICE_UNKNOWN, "no service is registered as " + name);
    }
    for (ServiceName<?> dependency : service.dependencies()) {
      startWithDependencies(dependency.name(), visited, visiting);
    }
    service.start(this);
    started.addLast(service);
    visited.add(name);
  }
}
