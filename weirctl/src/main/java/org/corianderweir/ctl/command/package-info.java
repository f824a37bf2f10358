/** The commands of the operators' tool, a class each. */
@NullMarked
package org.corianderweir.ctl.command;

import org.jspecify.annotations.NullMarked;
