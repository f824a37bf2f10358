package org.corianderweir.daemon.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import org.corianderweir.daemon.peer.PeerTransport;
import org.corianderweir.daemon.peer.ReceivedMessage;
import org.corianderweir.kernel.ControlExecutor;
import org.corianderweir.kernel.Service;
import org.corianderweir.kernel.ServiceDirectory;
import org.corianderweir.kernel.ServiceName;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.limits.AdmissionController;
import org.corianderweir.logic.limits.AdmissionDecision;
import org.corianderweir.logic.limits.AdmissionPreview;
import org.corianderweir.logic.limits.Allowance;
import org.corianderweir.logic.limits.ConcurrencyPermits;
import org.corianderweir.logic.limits.FleetLimits;
import org.corianderweir.logic.limits.Lender;
import org.corianderweir.logic.limits.SlotLayout;
import org.corianderweir.logic.limits.slots.SlotHolder;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.logic.platform.PlatformService;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Link;
import org.corianderweir.model.configuration.Organisation;
import org.corianderweir.model.configuration.Region;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.topology.InstanceState;
import org.corianderweir.protocol.LimitMessage;
import org.jspecify.annotations.Nullable;

/**
 * Enforces the limits of the configuration over all entry instances together. Each instance owns
 * slices of every limit and lends the unused part of them to other instances.
 */
public final class LimitService implements Service {
  /** The name of this service. */
  public static final ServiceName<LimitService> NAME =
      new ServiceName<>("limits", LimitService.class);

  /** Slots of each availability zone; must not change while the fleet runs. */
  static final int SLOTS_PER_ZONE = 3;

  private static final Duration TICK_PERIOD = Duration.ofMillis(20);

  /** Longer than the longest deadline of a request, so that any request fits into a loan. */
  private static final Duration PERMIT_LOAN_LIFETIME = Duration.ofSeconds(65);

  private static final Duration LEAVE_TIMEOUT = Duration.ofSeconds(4);
  private static final long LEAVE_POLL_MILLISECONDS = 20;
  private static final long UNKNOWN_ORGANISATION_RETRY_MILLISECONDS = 1_000;
  private static final double BITS_PER_MEGABIT = 1e6;

  private final EntryInstance self;
  private final long incarnation;
  private final PlatformService platform;
  private final ControlExecutor controlExecutor;
  private final EventLog events;
  private final ConfigurationService configuration;
  private final MembershipService membership;
  private final PeerTransport transport;
  private final TimeSource time;
  private final AtomicBoolean tickRequested = new AtomicBoolean();
  private final ExecutorService decisionExecutor =
      Executors.newSingleThreadExecutor(
          task -> Thread.ofPlatform().daemon().name("admissions").unstarted(task));
  private volatile Map<String, AdmissionController> controllersByOrganisation = Map.of();
  private volatile @Nullable FleetLimits limits;
  private List<Member> lenderMembers = List.of();
  private List<Lender> lenders = List.of();
  private volatile boolean hasLeft;
  private @Nullable LimitActionExecutor actionExecutor;

  LimitService(LimitServiceBuilder builder) {
    self = builder.self();
    incarnation = builder.incarnation();
    platform = builder.platform();
    controlExecutor = builder.controlExecutor();
    events = builder.events();
    configuration = builder.configuration();
    membership = builder.membership();
    transport = builder.transport();
    time = builder.time();
  }

  /** Returns a builder without any values. */
  public static LimitServiceBuilder builder() {
    return new LimitServiceBuilder();
  }

  /**
   * Decides whether a request of an organisation is within the organisation's rate limit. Any
   * thread may call this. A request over the limit may wait for an allowance until the deadline;
   * its decision is then delivered on a separate thread.
   *
   * @param deadlineNanoseconds monotonic time after which a decision is of no use
   * @param nowNanoseconds present monotonic time
   */
  public CompletableFuture<AdmissionDecision> admit(
      String organisation, long deadlineNanoseconds, long nowNanoseconds) {
    AdmissionController controller = controllersByOrganisation.get(organisation);
    if (controller == null) {
      return CompletableFuture.completedFuture(
          new AdmissionDecision.Refused(UNKNOWN_ORGANISATION_RETRY_MILLISECONDS));
    }
    if (controller.tryAdmit(nowNanoseconds)) {
      return CompletableFuture.completedFuture(AdmissionDecision.ADMITTED);
    }
    CompletableFuture<AdmissionDecision> pendingDecision = new CompletableFuture<>();
    boolean queued =
        controller.tryEnqueue(
            decision -> decisionExecutor.execute(() -> pendingDecision.complete(decision)),
            deadlineNanoseconds,
            nowNanoseconds);
    if (!queued) {
      pendingDecision.complete(new AdmissionDecision.Refused(controller.retryAfterMilliseconds()));
    } else if (tickRequested.compareAndSet(false, true)) {
      controlExecutor.execute(this::tick);
    }
    return pendingDecision;
  }

  /**
   * Returns what {@link #admit} would decide now, without counting the request. Any thread may call
   * this.
   */
  public AdmissionPreview preview(
      String organisation, long deadlineNanoseconds, long nowNanoseconds) {
    AdmissionController controller = controllersByOrganisation.get(organisation);
    return controller == null
        ? new AdmissionPreview.Refused(UNKNOWN_ORGANISATION_RETRY_MILLISECONDS)
        : controller.preview(deadlineNanoseconds, nowNanoseconds);
  }

  /** Returns the rate that this instance may admit for an organisation, in requests per second. */
  public double heldRate(String organisation, long nowNanoseconds) {
    AdmissionController controller = controllersByOrganisation.get(organisation);
    return controller == null ? 0 : controller.bucket().heldAllowance(nowNanoseconds).rate();
  }

  /** Returns the concurrency permits of a backend server; any thread may call this. */
  public Optional<ConcurrencyPermits> backendServerPermits(String backendServer) {
    return permits("backend-server/" + backendServer);
  }

  /**
   * Returns the concurrency permits of a region; empty if the region has no limit beyond the slots
   * of its backend servers.
   */
  public Optional<ConcurrencyPermits> regionPermits(String region) {
    return permits("region/" + region);
  }

  /**
   * Returns the concurrency permits of a selector; empty if the selector has no concurrency limit.
   */
  public Optional<ConcurrencyPermits> selectorPermits(String selector) {
    return permits("selector/" + selector);
  }

  /**
   * Returns the admission controller of a link between two regions, which counts bits. Empty if no
   * such link is configured. Any thread may call this.
   */
  public Optional<AdmissionController> linkAdmissionController(String fromRegion, String toRegion) {
    FleetLimits current = limits;
    return current == null
        ? Optional.empty()
        : current.admissionController("link/" + fromRegion + '/' + toRegion);
  }

  @Override
  public List<ServiceName<?>> dependencies() {
    return List.of(ConfigurationService.NAME, MembershipService.NAME, PeerTransport.NAME);
  }

  @Override
  public void start(ServiceDirectory directory) {
    configuration.onChange(this::onConfigurationChange);
    transport.onMessage(
        LimitMessage.class, received -> controlExecutor.execute(() -> receive(received)));
    controlExecutor.scheduleWithFixedDelay(TICK_PERIOD, this::tick);
  }

  /** Returns loans and releases slots, and waits for that until a timeout. */
  @Override
  public void stop() {
    controlExecutor.execute(this::leave);
    long deadlineNanoseconds = time.monotonicNanoseconds() + LEAVE_TIMEOUT.toNanos();
    while (!hasLeft && time.monotonicNanoseconds() < deadlineNanoseconds) {
      sleepBetweenPolls();
    }
    decisionExecutor.shutdown();
  }

  private Optional<ConcurrencyPermits> permits(String limitName) {
    FleetLimits current = limits;
    return current == null ? Optional.empty() : current.permits(limitName);
  }

  private void onConfigurationChange(Configuration changed) {
    long nowNanoseconds = time.monotonicNanoseconds();
    SlotLayout layout =
        new SlotLayout(
            changed.zones().stream().map(AvailabilityZone::name).toList(), SLOTS_PER_ZONE);
    FleetLimits current = limits;
    if (current == null) {
      SlotHolder holder = new SlotHolder(self.name(), self.host(), self.peerPort(), incarnation);
      current = new FleetLimits(holder, self.availabilityZone(), layout, nowNanoseconds);
      actionExecutor =
          new LimitActionExecutor(
              self, platform, controlExecutor, events, transport, current, time);
      limits = current;
    }
    current.changeLayout(layout, nowNanoseconds);
    List<String> names = new ArrayList<>();
    Map<String, AdmissionController> newControllers = new HashMap<>();
    for (Organisation organisation : changed.organisations()) {
      String name = "organisation/" + organisation.name();
      names.add(name);
      Allowance limit = new Allowance(organisation.requestsPerSecond(), organisation.burst());
      current.defineRate(name, limit, nowNanoseconds);
      current
          .admissionController(name)
          .ifPresent(controller -> newControllers.put(organisation.name(), controller));
    }
    defineCapacities(current, changed, names, nowNanoseconds);
    controllersByOrganisation = Map.copyOf(newControllers);
    current.retain(names, nowNanoseconds);
  }

  private static void defineCapacities(
      FleetLimits current, Configuration changed, List<String> names, long nowNanoseconds) {
    changed.backendServers().stream()
        .forEach(
            server ->
                defineConcurrency(
                    current,
                    "backend-server/" + server.name(),
                    server.slots(),
                    names,
                    nowNanoseconds));
    changed.regions().stream()
        .filter(region -> region.concurrency() > 0)
        .forEach(
            (Region region) ->
                defineConcurrency(
                    current,
                    "region/" + region.name(),
                    region.concurrency(),
                    names,
                    nowNanoseconds));
    changed.selectors().stream()
        .filter(selector -> selector.concurrency() > 0)
        .forEach(
            selector ->
                defineConcurrency(
                    current,
                    "selector/" + selector.name(),
                    selector.concurrency(),
                    names,
                    nowNanoseconds));
    for (Link link : changed.links()) {
      String name = "link/" + link.fromRegion() + '/' + link.toRegion();
      double bitsPerSecond = link.megabitsPerSecond() * BITS_PER_MEGABIT;
      names.add(name);
      current.defineRate(name, new Allowance(bitsPerSecond, bitsPerSecond), nowNanoseconds);
    }
  }

  private static void defineConcurrency(
      FleetLimits current, String name, int permits, List<String> names, long nowNanoseconds) {
    names.add(name);
    current.defineConcurrency(name, permits, PERMIT_LOAN_LIFETIME.toNanos(), nowNanoseconds);
  }

  private void tick() {
    tickRequested.set(false);
    FleetLimits current = limits;
    LimitActionExecutor executor = actionExecutor;
    if (current == null || executor == null) {
      return;
    }
    List<Member> members = executor.updateMembers(membership.members());
    if (members != lenderMembers) {
      lenderMembers = members;
      lenders = lenders(members);
    }
    long nowNanoseconds = time.monotonicNanoseconds();
    executor.perform(current.tick(lenders, nowNanoseconds, ThreadLocalRandom.current()));
    hasLeft = current.member().hasLeft();
  }

  private List<Lender> lenders(List<Member> members) {
    return members.stream()
        .filter(member -> member.state() != InstanceState.LEAVING)
        .map(Member::instance)
        .filter(instance -> !instance.name().equals(self.name()))
        .map(
            instance ->
                new Lender(
                    instance.name(), instance.availabilityZone().equals(self.availabilityZone())))
        .toList();
  }

  private void receive(ReceivedMessage<LimitMessage> received) {
    FleetLimits current = limits;
    LimitActionExecutor executor = actionExecutor;
    if (current == null || executor == null) {
      return;
    }
    long nowNanoseconds = time.monotonicNanoseconds();
    switch (received.message()) {
      case LimitMessage.Loan loan ->
          executor.perform(
              current.receive(received.sender().name(), loan.message(), nowNanoseconds));
      case LimitMessage.Slot slot ->
          executor.perform(current.receive(slot.message(), nowNanoseconds));
    }
  }

  private void leave() {
    FleetLimits current = limits;
    LimitActionExecutor executor = actionExecutor;
    if (current == null || executor == null) {
      hasLeft = true;
      return;
    }
    executor.perform(current.leave(time.monotonicNanoseconds()));
  }

  private static void sleepBetweenPolls() {
    try {
      Thread.sleep(LEAVE_POLL_MILLISECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
