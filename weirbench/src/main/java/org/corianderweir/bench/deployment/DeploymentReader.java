package org.corianderweir.bench.deployment;

import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.ini4j.Ini;
import org.ini4j.Profile.Section;

/** Reads a deployment from an INI file; the first mistake ends it with a message that names it. */
public final class DeploymentReader {
  private static final Set<String> KINDS =
      Set.of("deployment", "zone", "service", "route", "organisation");

  private final File file;
  private final Ini ini;

  private DeploymentReader(File file, Ini ini) {
    this.file = file;
    this.ini = ini;
  }

  /**
   * Reads a file.
   *
   * @throws WeirException with code {@code SETTINGS_INVALID}
   */
  public static Deployment read(File file) {
    try {
      return new DeploymentReader(file, new Ini(file)).deployment();
    } catch (IOException failure) {
      throw new WeirException(ErrorCode.SETTINGS_INVALID, file + ": can't be read", failure);
    }
  }

  private Deployment deployment() {
    checkKinds();
    Section general = ini.get("deployment");
    if (general == null) {
      throw problem("deployment", "", "missing section");
    }
    Deployment.Latency latency =
        new Deployment.Latency(
            number(general, "zone-latency-milliseconds"),
            number(general, "region-latency-milliseconds"),
            number(general, "client-latency-milliseconds"));
    return new Deployment(
        text(general, "name"),
        text(general, "store-zone"),
        latency,
        number(general, "link-megabits-per-second"),
        number(general, "open-requests-per-second"),
        each("zone", this::zone),
        each("service", this::service),
        each("route", this::route),
        each("organisation", this::organisation));
  }

  private void checkKinds() {
    for (String section : ini.keySet()) {
      if (!KINDS.contains(section.split(" ", 2)[0])) {
        throw problem(section, "", "unknown section; allowed: " + KINDS);
      }
    }
  }

  private <T> List<T> each(String kind, Function<Section, T> reader) {
    List<T> found = new ArrayList<>();
    for (Section section : ini.values()) {
      if (section.getName().startsWith(kind + " ")) {
        found.add(reader.apply(section));
      }
    }
    if (found.isEmpty()) {
      throw problem(kind, "", "at least one section is needed");
    }
    return found;
  }

  private Deployment.Zone zone(Section section) {
    return new Deployment.Zone(
        subject(section),
        text(section, "region"),
        text(section, "prefix"),
        whole(section, "entry-instances"));
  }

  private Deployment.ServicePlan service(Section section) {
    return new Deployment.ServicePlan(
        subject(section),
        whole(section, "servers"),
        whole(section, "slots"),
        whole(section, "connection-limit"),
        whole(section, "service-milliseconds"));
  }

  private Deployment.Route route(Section section) {
    List<String> organisations =
        Arrays.stream(section.getOrDefault("organisations", "").split(","))
            .map(String::strip)
            .filter(name -> !name.isEmpty())
            .toList();
    return new Deployment.Route(
        subject(section),
        text(section, "path"),
        text(section, "method"),
        text(section, "service"),
        Boolean.parseBoolean(text(section, "open")),
        organisations,
        number(section, "share"));
  }

  private Deployment.OrganisationPlan organisation(Section section) {
    return new Deployment.OrganisationPlan(
        subject(section),
        number(section, "requests-per-second"),
        whole(section, "burst"),
        text(section, "home-region"),
        number(section, "demand"));
  }

  private static String subject(Section section) {
    return section.getName().split(" ", 2)[1];
  }

  private String text(Section section, String name) {
    String value = section.get(name);
    if (value == null || value.isBlank()) {
      throw problem(section.getName(), name, "missing");
    }
    return value.strip();
  }

  private double number(Section section, String name) {
    String value = text(section, name);
    try {
      double number = Double.parseDouble(value);
      if (number > 0) {
        return number;
      }
    } catch (NumberFormatException notANumber) {
      // Reported below together with numbers out of range.
    }
    throw problem(section.getName(), name, "read '" + value + "'; allowed: a number above zero");
  }

  private int whole(Section section, String name) {
    double number = number(section, name);
    if (number != Math.rint(number)) {
      throw problem(section.getName(), name, "read '" + number + "'; allowed: a whole number");
    }
    return (int) number;
  }

  private WeirException problem(String section, String name, String message) {
    return new WeirException(
        ErrorCode.SETTINGS_INVALID, file + ": [" + section + "] " + name + ": " + message);
  }
}
