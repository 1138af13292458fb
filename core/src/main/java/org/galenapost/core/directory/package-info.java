/**
 * A directory of running generations, distributed over the daemons. Its entries are hints: a lost
 * entry causes a second run but never a wrong answer. This package depends on generations, peers
 * and time.
 */
package org.galenapost.core.directory;
