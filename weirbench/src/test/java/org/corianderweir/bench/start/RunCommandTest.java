package org.corianderweir.bench.start;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** Guards against measuring a process that is started in another way than in the deployment. */
public final class RunCommandTest {
  @Test
  public void commandOfTheDeploymentGetsOtherSettings() throws IOException {
    Path directory = Files.createTempDirectory("run-command");
    Files.createDirectories(directory.resolve("deploy"));
    Files.writeString(
        directory.resolve("deploy/system.toml"),
        "build = \"x\"\nrun = \"bin/java -Xmx9m -jar a.jar --settings /etc/a --platform\"\n");
    Path settings = directory.resolve("entry.ini");
    assertEquals(
        RunCommand.read(directory).with(settings, List.of("-Xlog:gc")).arguments(),
        List.of(
            directory.resolve("bin/java").toString(),
            "-Xmx9m",
            "-Xlog:gc",
            "-jar",
            "a.jar",
            "--settings",
            settings.toString(),
            "--platform"));
  }
}
