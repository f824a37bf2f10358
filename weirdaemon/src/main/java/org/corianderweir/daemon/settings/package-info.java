/** Reads and checks the daemon's INI settings. */
@NullMarked
package org.corianderweir.daemon.settings;

import org.jspecify.annotations.NullMarked;
