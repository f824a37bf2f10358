package org.corianderweir.bench.process;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The Java processes of one run. Closing it kills all that are still running. */
public final class ChildProcesses implements AutoCloseable {
  private static final long KILL_TIMEOUT_SECONDS = 5;

  private final File logDirectory;
  private final Map<String, Process> processes = Collections.synchronizedMap(new LinkedHashMap<>());

  /**
   * Creates an instance without processes.
   *
   * @param logDirectory directory for the output of each process
   */
  public ChildProcesses(File logDirectory) {
    this.logDirectory = logDirectory;
  }

  /** Starts a main class in a new JVM with the class path of this one. */
  public Process start(String name, Class<?> mainClass, List<String> arguments) {
    return start(name, mainClass, arguments, List.of());
  }

  /** Starts a main class in a new JVM with further options for this JVM. */
  public Process start(
      String name, Class<?> mainClass, List<String> arguments, List<String> virtualMachineOptions) {
    List<String> command = new ArrayList<>();
    command.add(String.join(File.separator, System.getProperty("java.home", ""), "bin", "java"));
    command.add("-Xmx96m");
    command.add("-XX:+UseSerialGC");
    command.add("-XX:TieredStopAtLevel=1");
    command.addAll(virtualMachineOptions);
    command.add("-cp");
    command.add(classPath());
    command.add(mainClass.getName());
    command.addAll(arguments);
    return start(name, command, Path.of("."));
  }

  /**
   * Starts a program.
   *
   * @param command program and arguments
   * @param directory working directory of the process
   */
  public Process start(String name, List<String> command, Path directory) {
    try {
      Process process =
          new ProcessBuilder(command)
              .directory(directory.toFile())
              .redirectErrorStream(true)
              .redirectOutput(
                  ProcessBuilder.Redirect.appendTo(new File(logDirectory, name + ".log")))
              .start();
      processes.put(name, process);
      return process;
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Returns the process of the given name; fails if there is none. */
  public Process get(String name) {
    Process process = processes.get(name);
    if (process == null) {
      throw new IllegalArgumentException("no process " + name);
    }
    return process;
  }

  /** Suspends a process with SIGSTOP until it is resumed. */
  public void freeze(String name) {
    signal("-STOP", get(name));
  }

  /** Resumes a frozen process with SIGCONT. */
  public void resume(String name) {
    signal("-CONT", get(name));
  }

  private static void signal(String signal, Process process) {
    try {
      new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    processes.values().forEach(Process::destroyForcibly);
    for (Process process : processes.values()) {
      try {
        process.waitFor(KILL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /**
   * Returns the class path for child processes. Under Surefire, the class path of this JVM is only
   * a manifest, and the real one is in a system property.
   */
  private static String classPath() {
    String runtimeClassPath = System.getProperty("java.class.path", "");
    return System.getProperty("surefire.test.class.path", runtimeClassPath);
  }
}
