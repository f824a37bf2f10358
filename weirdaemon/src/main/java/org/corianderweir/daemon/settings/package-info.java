/** Declares, reads and validates the settings of the daemon, which are INI files. */
@NullMarked
package org.corianderweir.daemon.settings;

import org.jspecify.annotations.NullMarked;
