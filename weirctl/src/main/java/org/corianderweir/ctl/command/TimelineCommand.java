package org.corianderweir.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.corianderweir.ctl.Command;
import org.corianderweir.ctl.CommandContext;
import org.corianderweir.ctl.CommandException;
import org.corianderweir.ctl.CommandResult;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.model.timeline.TimelineEvent;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.operator.Operation;
import org.corianderweir.protocol.operator.Operations;

/** Shows the latest events of all entry instances, merged in causal order. */
@Parameters(commandDescription = "show the latest events of all entry instances in order")
public final class TimelineCommand implements Command {
  @Parameter(names = "--request", description = "only events of this request identifier")
  private String request = "";

  @Parameter(names = "--organisation", description = "only events of this organisation")
  private String organisation = "";

  @Parameter(names = "--backend-server", description = "only events of this backend server")
  private String backendServer = "";

  @Parameter(names = "--revision", description = "only events of this configuration revision")
  private String revision = "";

  /**
   * The merged timeline of all entry instances.
   *
   * @param events the events, oldest first
   * @param unreachable names of the entry instances that did not answer, so that their events are
   *     missing
   */
  public record MergedTimeline(List<TimelineEvent> events, List<String> unreachable) {}

  @Override
  public CommandResult run(CommandContext context) {
    List<TimelineEvent> events = new ArrayList<>();
    List<String> unreachable = new ArrayList<>();
    for (Member member : FleetMembers.all(context)) {
      EntryInstance instance = member.instance();
      try {
        events.addAll(
            context
                .client()
                .forInstance(InstanceCommands.operatorAddress(instance))
                .read(Operations.TIMELINE, new Operation.NoRequest())
                .events());
      } catch (CommandException noAnswer) {
        unreachable.add(instance.name());
      }
    }
    List<TimelineEvent> matching =
        events.stream()
            .filter(this::matchesFilters)
            .sorted(
                Comparator.comparing(TimelineEvent::timestamp)
                    .thenComparing(TimelineEvent::process))
            .toList();
    List<String> lines =
        new ArrayList<>(matching.stream().map(TimelineCommand::formatLine).toList());
    if (!unreachable.isEmpty()) {
      lines.add("missing, no answer: " + String.join(", ", unreachable));
    }
    return new CommandResult(new MergedTimeline(matching, unreachable), lines);
  }

  private boolean matchesFilters(TimelineEvent event) {
    return (request.isEmpty() || event.subject().equals(request))
        && matchesField(event, "organisation", organisation)
        && matchesField(event, "server", backendServer)
        && matchesField(event, "revision", revision);
  }

  private static boolean matchesField(TimelineEvent event, String field, String value) {
    if (value.isEmpty() || event.subject().equals(value)) {
      return true;
    }
    if (event.subject().equals(field + "-" + value)) {
      return true;
    }
    return List.of(event.detail().split("[ ,;]+")).contains(field + "=" + value);
  }

  private static String formatLine(TimelineEvent event) {
    return String.join(
            " ",
            Instant.ofEpochMilli(event.timestamp().wallMilliseconds())
                + "."
                + event.timestamp().counter(),
            event.process(),
            String.format("WEIR-%04d", event.code().number()),
            event.code().title() + ":",
            event.subject(),
            event.detail())
        .stripTrailing();
  }
}
