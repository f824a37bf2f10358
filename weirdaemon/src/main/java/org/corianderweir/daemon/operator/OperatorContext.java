package org.corianderweir.daemon.operator;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;
import org.corianderweir.daemon.control.ConfigurationService;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.daemon.control.MembershipService;
import org.corianderweir.daemon.settings.DaemonSettings;
import org.corianderweir.daemon.steering.SteeringService;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.delivery.DrainState;
import org.corianderweir.logic.traffic.RequestExplanation;
import org.corianderweir.protocol.operator.ExplainMessages;

/**
 * The services and state that the operations of operators use.
 *
 * @param settings settings of this entry instance
 * @param configuration service with the configuration in force
 * @param membership service that lists the live entry instances
 * @param steering service with the weights in force
 * @param events log with the latest events
 * @param metrics registry of the meters
 * @param time source of the present time
 * @param drains returns the drained backend servers and this instance's requests in flight there
 * @param explainRequest explains what this instance would do with a request
 * @param requestStop starts a planned stop of the process
 */
public record OperatorContext(
    DaemonSettings settings,
    ConfigurationService configuration,
    MembershipService membership,
    SteeringService steering,
    EventLog events,
    MetricRegistry metrics,
    TimeSource time,
    Supplier<List<DrainState>> drains,
    Function<ExplainMessages.ExplainedRequest, RequestExplanation> explainRequest,
    Runnable requestStop) {}
